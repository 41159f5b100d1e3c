// Package minheap provides a binary heap whose elements are stored by value. Unlike with container/heap, adding an
// element does not allocate memory while the slice has capacity.
package minheap

// Element is the constraint of a heap's elements. Before must be a strict order: no element is before itself.
type Element[T any] interface {
	Before(other *T) bool
}

// Heap is a binary heap whose first element is the least. P is *T, which has the method Before. The zero value is
// empty. A Heap is not safe for concurrent use.
type Heap[T any, P interface {
	*T
	Element[T]
}] []T

// Push adds an element.
func (h *Heap[T, P]) Push(element T) {
	*h = append(*h, element)
	elements := *h
	for child := len(elements) - 1; child > 0; {
		parent := (child - 1) / 2
		if !P(&elements[child]).Before(&elements[parent]) {
			return
		}
		elements[child], elements[parent] = elements[parent], elements[child]
		child = parent
	}
}

// Pop removes and returns the least element. The heap must not be empty.
func (h *Heap[T, P]) Pop() T {
	elements := *h
	least := elements[0]
	last := len(elements) - 1
	elements[0] = elements[last]
	var zero T
	elements[last] = zero // so that memory that the element refers to can be freed
	*h = elements[:last]
	h.siftDown(0)
	return least
}

// Filter removes the elements for which keep returns false. It takes time proportional to the number of elements.
func (h *Heap[T, P]) Filter(keep func(P) bool) {
	kept := (*h)[:0]
	for i := range *h {
		if keep(&(*h)[i]) {
			kept = append(kept, (*h)[i])
		}
	}
	clear((*h)[len(kept):]) // so that memory that the elements refer to can be freed
	*h = kept
	for parent := len(kept)/2 - 1; parent >= 0; parent-- {
		kept.siftDown(parent)
	}
}

// siftDown restores the order below an element that may be greater than its children.
func (h Heap[T, P]) siftDown(parent int) {
	for {
		least := h.leastOf(parent)
		if least == parent {
			return
		}
		h[parent], h[least] = h[least], h[parent]
		parent = least
	}
}

// leastOf returns the index of the least element among a parent and its children, of which there are up to two.
func (h Heap[T, P]) leastOf(parent int) int {
	least := parent
	for child := 2*parent + 1; child <= 2*parent+2 && child < len(h); child++ {
		if P(&h[child]).Before(&h[least]) {
			least = child
		}
	}
	return least
}
