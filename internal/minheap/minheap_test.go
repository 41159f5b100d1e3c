package minheap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type number int

func (n *number) Before(o *number) bool { return *n < *o }

// Pop must return the least element, in any sequence of pushes and pops.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var heap Heap[number, *number]
		var want []number
		// A step that is not negative pushes its value; a negative one pops the least element.
		for _, step := range rapid.SliceOf(rapid.IntRange(-20, 50)).Draw(t, "steps") {
			if step >= 0 {
				heap.Push(number(step))
				want = append(want, number(step))
				continue
			}
			if len(want) == 0 {
				continue
			}
			slices.Sort(want)
			if got := heap.Pop(); got != want[0] {
				t.Fatalf("popped %d, want %d", got, want[0])
			}
			want = want[1:]
		}
		slices.Sort(want)
		for _, least := range want {
			if got := heap.Pop(); got != least {
				t.Fatalf("popped %d, want %d", got, least)
			}
		}
		if len(heap) != 0 {
			t.Fatalf("%d elements left", len(heap))
		}
	})
}

// A heap whose slice has grown once must accept further elements without allocating memory.
func TestPushAllocatesNothing(t *testing.T) {
	var heap Heap[number, *number]
	heap.Push(1)
	heap.Pop()
	if allocations := testing.AllocsPerRun(100, func() { heap.Push(2); heap.Pop() }); allocations != 0 {
		t.Fatalf("%v allocations per push, want 0", allocations)
	}
}

// Filter must keep exactly the elements that it is asked to keep, and Pop must return them in order.
func TestFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var heap Heap[number, *number]
		var want []number
		divisor := rapid.IntRange(1, 5).Draw(t, "divisor")
		for _, value := range rapid.SliceOf(rapid.IntRange(0, 50)).Draw(t, "values") {
			heap.Push(number(value))
			if value%divisor == 0 {
				want = append(want, number(value))
			}
		}
		heap.Filter(func(n *number) bool { return int(*n)%divisor == 0 })
		slices.Sort(want)
		for i, least := range want {
			if got := heap.Pop(); got != least {
				t.Fatalf("popped %d as element %d, want %d", got, i, least)
			}
		}
		if len(heap) != 0 {
			t.Fatalf("%d elements left", len(heap))
		}
	})
}
