package lease

import (
	"encoding/binary"
	"net/netip"

	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/octets"
)

// The table is divided into buckets of successive leases, and the buckets into windows. Each bucket has a checksum
// of its claims, called its sum. A digest contains the sum of each bucket of one window; the reply contains the
// claims of the buckets whose sums differ. Digests repair what gossip and messages have missed.
const (
	bucketSize       = 16            // leases
	maxDigestBuckets = 88            // buckets in one window; their sums fit into one datagram
	maxDigestReply   = 3 * maxClaims // claims after which a reply adds no further bucket

	idleDigestInterval = clock.Second
	busyDigestInterval = 120 * clock.Millisecond // while leases are vacant or claims arrive, and until settledAt
	busyPeriod         = clock.Second            // time after a new claim in which the table counts as changing
	digestReserve      = datagramBurst / 2       // tokens kept for replies; with fewer, idleDigestInterval applies
)

// bucketCount returns the number of buckets, of which the last one may have fewer leases.
func (mgr *Manager) bucketCount() int { return (len(mgr.table) + bucketSize - 1) / bucketSize }

// toggleSum adds the claim of a lease to the sum of its bucket, or removes it if the sum contains it. A sum is the
// exclusive or of the hashes of the claims in a bucket, so that one claim can be replaced without reading the
// others.
func (mgr *Manager) toggleSum(id ID) {
	if r := &mgr.table[id]; r.term > 0 {
		mgr.bucketSums[id/bucketSize] ^= uint32(hash.Combine(uint64(id)<<32|uint64(r.term), uint64(r.holder)))
	}
}

// truncateSum shortens a sum to sumSize bytes. Each digest has a new random salt: if two different sums are
// truncated to the same value in one digest, they are very likely to differ in the next.
func truncateSum(sum uint32, salt byte) uint16 {
	return uint16(hash.Combine(uint64(sum), uint64(salt)))
}

// sendNextDigest sends the digest of the next window to another member when it is due. Successive digests cover all
// windows in turn.
func (mgr *Manager) sendNextDigest() {
	interval := idleDigestInterval
	if mgr.vacantCount > 0 || mgr.settledAt == 0 || mgr.now-mgr.lastNewClaim < busyPeriod {
		interval = busyDigestInterval
	}
	if mgr.limiter.Tokens() < digestReserve {
		interval = idleDigestInterval
	}
	if mgr.now-mgr.lastDigest < interval {
		return
	}
	mgr.lastDigest = mgr.now
	to := mgr.pickPeer()
	if to == nil {
		return
	}
	first := mgr.nextDigestBucket
	end := min(first+maxDigestBuckets, mgr.bucketCount())
	mgr.nextDigestBucket = end
	if end >= mgr.bucketCount() {
		mgr.nextDigestBucket = 0
	}
	mgr.sendDigest(to.Address, first, end)
}

// sendDigest sends the sums of the buckets in [first, end). Until this router claims leases, it requests a
// digestMatch; see caughtUp.
func (mgr *Manager) sendDigest(to netip.AddrPort, first, end int) {
	salt := byte(mgr.random.Uint64())
	confirm := mgr.settledAt == 0
	b := append(mgr.newDatagram(digest), octets.FromBool(confirm))
	b = binary.AppendUvarint(b, uint64(first))
	b = append(b, salt)
	for _, sum := range mgr.bucketSums[first:end] {
		if len(b)+sumSize > MaxPayload {
			break
		}
		b = octets.AppendUint(b, uint64(truncateSum(sum, salt)), sumSize)
	}
	mgr.send(to, b)
}

// onDigest replies with the claims of the buckets that differ, or with a digestMatch if requested and none differs.
func (mgr *Manager) onDigest(from netip.AddrPort, r *octets.Reader) {
	d := readDigest(r)
	differing := mgr.differing(&d)
	if len(differing) == 0 && d.confirm {
		mgr.send(from, binary.AppendUvarint(mgr.newDatagram(digestMatch), uint64(d.first)))
	}
	for len(differing) > 0 {
		sent := mgr.sendClaims(claims, from, differing)
		if sent == 0 {
			break
		}
		differing = differing[sent:]
	}
}

// differing returns the claimed leases of the buckets whose sums differ, sorted by holder, from as many buckets as
// maxDigestReply permits. It starts at a random bucket, so that the last buckets do not have to wait until the
// first ones agree. The slice is valid until the next use of scratch.
func (mgr *Manager) differing(d *digestBody) []ID {
	mgr.scratch = mgr.scratch[:0]
	start := 0
	if len(d.sums) > 0 {
		start = mgr.random.IntN(len(d.sums))
	}
	for i := range d.sums {
		i = (start + i) % len(d.sums)
		bucket := d.first + i
		if bucket >= mgr.bucketCount() || truncateSum(mgr.bucketSums[bucket], d.salt) == d.sums[i] {
			continue
		}
		for id := bucket * bucketSize; id < min((bucket+1)*bucketSize, len(mgr.table)); id++ {
			if mgr.table[id].term > 0 {
				mgr.scratch = append(mgr.scratch, ID(id))
			}
		}
		if len(mgr.scratch) >= maxDigestReply {
			break
		}
	}
	return mgr.sortByHolder(mgr.scratch)
}

// onDigestMatch records that a window of this router's table matched that of another router.
func (mgr *Manager) onDigestMatch(r *octets.Reader) {
	first := r.Uvarint(MaxLeases)
	if !r.Bad {
		mgr.matchedWindows |= 1 << (first / maxDigestBuckets)
	}
}

// digestBody is a decoded digest.
type digestBody struct {
	confirm bool // a digestMatch is requested if nothing differs
	first   int  // index of the first bucket
	salt    byte
	sums    []uint16
}

// readDigest decodes the fields of a digest. It ignores sums beyond maxDigestBuckets.
func readDigest(r *octets.Reader) (d digestBody) {
	d.confirm = r.Byte() == 1
	d.first = int(r.Uvarint(MaxLeases))
	d.salt = r.Byte()
	for !r.Bad && len(r.B) >= sumSize && len(d.sums) < maxDigestBuckets {
		d.sums = append(d.sums, uint16(r.Uint(sumSize)))
	}
	return d
}
