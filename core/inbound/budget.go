package inbound

import (
	"container/list"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoRoom means that a budget has no room for a reservation. The request that needs it can be sent
// again later.
var ErrNoRoom = eris.New("inbound: no room in the memory budget")

const (
	// relieveInterval is the time between two checks for slow clients while a reservation waits.
	relieveInterval = 50 * time.Millisecond
	// smallReservation is the size up to which a reservation is small, and smallShare is how much small
	// ones may take together, both as parts of the budget.
	smallReservation = 1.0 / 64
	smallShare       = 0.75
	// rateWindow is the time over which the rate of a sender is averaged.
	rateWindow = 500 * time.Millisecond
)

// Budget bounds the memory of one kind of data from clients. It is safe for concurrent use.
type Budget struct {
	limit   int64
	maxWait time.Duration // how long a reservation may wait for room
	minRate float64       // bytes per second; slower senders are ended while others wait for room
	// endReaders ends clients that hold memory and read slowly, until the given number of bytes is
	// released or there are no more. Nil = none.
	endReaders func(bytes int64)

	mu          sync.Mutex
	used        int64
	usedBySmall int64                     // part of used that small reservations took
	queued      int64                     // sum of the reservations that wait
	queue       list.List                 // of *reservation, in the order of arrival
	senders     map[*Hold]*senderProgress // holds whose data is still being received
	relievedAt  time.Time                 // when slow clients were last looked for
}

// reservation is a request for room that waits.
type reservation struct {
	hold    *Hold
	bytes   int64
	granted chan struct{} // closed when there is room
	place   *list.Element
}

// NewBudget returns a budget of the given size in bytes. A reservation waits up to maxWait for room;
// meanwhile senders below minRate, in bytes per second, are ended.
func NewBudget(limit int64, maxWait time.Duration, minRate float64) *Budget {
	return &Budget{limit: limit, maxWait: maxWait, minRate: minRate, senders: make(map[*Hold]*senderProgress)}
}

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Hold is the memory that one request has reserved in a budget.
type Hold struct {
	budget *Budget
	// The budget's lock guards the following.
	bytes int64
	small int64 // part of bytes that small reservations took
}

// NewHold returns a hold without a reservation.
func (b *Budget) NewHold() *Hold { return &Hold{budget: b} }

// TryReserve reserves the bytes if there is room for them now, and reports whether there was.
func (h *Hold) TryReserve(bytes int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.take(h, bytes)
}

// Reserve reserves the bytes. If there is no room for them it waits as long as allowed, or until the
// channel is closed, and returns ErrNoRoom after that. It returns ErrNoRoom at once if so much is
// waiting that there will be none.
func (h *Hold) Reserve(bytes int64, canceled <-chan struct{}) error {
	r := h.budget.request(h, bytes)
	if r == nil {
		return nil
	}
	return h.budget.await(r, canceled)
}

// Shrink reduces the hold to the given number of bytes.
func (h *Hold) Shrink(bytes int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes >= h.bytes {
		return
	}
	b.release(h, bytes)
}

// size returns how many bytes are reserved.
func (h *Hold) size() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// Release gives the whole hold back.
func (h *Hold) Release() { h.Shrink(0) }

// reset ends receiving and gives the whole hold back.
func (h *Hold) reset() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.senders, h)
	if h.bytes > 0 {
		b.release(h, 0)
	}
}

// take reserves the bytes if they fit. The caller holds the lock.
func (b *Budget) take(h *Hold, bytes int64) bool {
	alone := b.used == h.bytes && bytes <= b.limit-b.used
	if b.missing(bytes) > 0 && !alone {
		return false
	}
	b.used += bytes
	h.bytes += bytes
	if b.isSmall(bytes) {
		b.usedBySmall += bytes
		h.small += bytes
	}
	return true
}

// missing returns how many bytes have to be released before a reservation succeeds, 0 or less if it
// would succeed now. The caller holds the lock.
func (b *Budget) missing(bytes int64) int64 {
	missing := 2*bytes - (b.limit - b.used)
	if b.isSmall(bytes) {
		missing = max(missing, b.usedBySmall+bytes-int64(smallShare*float64(b.limit)))
	}
	return missing
}

func (b *Budget) isSmall(bytes int64) bool { return bytes <= int64(smallReservation*float64(b.limit)) }

// release gives back what a hold has beyond the given number of bytes. The caller holds the lock.
func (b *Budget) release(h *Hold, keep int64) {
	b.used -= h.bytes - keep
	h.bytes = keep
	if h.small > keep {
		b.usedBySmall -= h.small - keep
		h.small = keep
	}
	b.grant()
}

// request reserves the bytes and returns nil, or returns a reservation that waits.
func (b *Budget) request(h *Hold, bytes int64) *reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.take(h, bytes) {
		return nil
	}
	r := &reservation{hold: h, bytes: bytes, granted: make(chan struct{})}
	if b.queued+bytes <= b.limit {
		r.place = b.queue.PushBack(r)
		b.queued += bytes
	}
	return r
}

// await waits until the reservation is granted.
func (b *Budget) await(r *reservation, canceled <-chan struct{}) error {
	if r.place == nil {
		return ErrNoRoom
	}
	ticker := time.NewTicker(relieveInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(b.maxWait)
	defer timeout.Stop()
	for {
		b.relieve(time.Now())
		select {
		case <-r.granted:
			return nil
		case <-ticker.C:
		case <-canceled:
			return b.withdraw(r)
		case <-timeout.C:
			return b.withdraw(r)
		}
	}
}

// withdraw takes a reservation out of the queue. It returns nil if it was granted meanwhile.
func (b *Budget) withdraw(r *reservation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-r.granted:
		return nil
	default:
	}
	b.dequeue(r)
	return ErrNoRoom
}

func (b *Budget) dequeue(r *reservation) {
	b.queue.Remove(r.place)
	b.queued -= r.bytes
}

// grant grants the reservations that fit, in the order of arrival. The caller holds the lock.
func (b *Budget) grant() {
	for e := b.queue.Front(); e != nil; {
		r, next := e.Value.(*reservation), e.Next()
		if b.take(r.hold, r.bytes) {
			b.dequeue(r)
			close(r.granted)
		}
		e = next
	}
}

// senderProgress is the recent progress of a sender.
type senderProgress struct {
	recent float64 // bytes received, exponentially decayed
	at     time.Time
	end    func() // ends the sender
	ended  bool
}

func (p *senderProgress) add(bytes int, now time.Time) {
	p.recent = p.recent*math.Exp(-now.Sub(p.at).Seconds()/rateWindow.Seconds()) + float64(bytes)
	p.at = now
}

// rate returns the sender's rate in bytes per second.
func (p *senderProgress) rate(now time.Time) float64 {
	p.add(0, now)
	return p.recent / rateWindow.Seconds()
}

// initialProgress returns how many bytes a sender counts as having sent when it begins.
func (b *Budget) initialProgress() float64 { return 2 * b.minRate * rateWindow.Seconds() }

// BeginReceiving marks the hold as being of data that a client is still sending. If it sends slowly
// while others wait for room, end is called once, in which case the caller must release the hold.
// end must not block or use the budget.
func (h *Hold) BeginReceiving(end func()) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.senders[h] = &senderProgress{recent: h.budget.initialProgress(), at: time.Now(), end: end}
}

// Received records that the client has sent more bytes.
func (h *Hold) Received(bytes int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if p := h.budget.senders[h]; p != nil {
		p.add(bytes, time.Now())
	}
}

// EndReceiving marks the hold's data as complete, and reports whether the sender was ended before.
func (h *Hold) EndReceiving() (ended bool) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	p := h.budget.senders[h]
	delete(h.budget.senders, h)
	return p != nil && p.ended
}

// relieve ends the slowest senders, and then slow readers, as many as the first reservation in the queue
// needs. All reservations that wait share one check in each interval.
func (b *Budget) relieve(now time.Time) {
	if needed := b.endSlowest(now); needed > 0 && b.endReaders != nil {
		b.endReaders(needed)
	}
}

// endSlowest ends the slowest senders that are below the least rate, as many as the first reservation in
// the queue needs, and returns how many bytes it needs beyond that.
func (b *Budget) endSlowest(now time.Time) (needed int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.Len() == 0 || now.Sub(b.relievedAt) < relieveInterval/2 {
		return 0
	}
	b.relievedAt = now
	needed = b.missing(b.queue.Front().Value.(*reservation).bytes)
	for h, p := range b.senders {
		if p.ended {
			needed -= h.bytes // about to be released
		}
	}
	for needed > 0 {
		h, p := b.slowest(now)
		if h == nil {
			return needed
		}
		p.ended = true
		p.end()
		needed -= h.bytes
	}
	return 0
}

// slowest returns the slowest sender that is below the least rate, or nil.
func (b *Budget) slowest(now time.Time) (*Hold, *senderProgress) {
	var slowest *Hold
	lowest := b.minRate
	for h, p := range b.senders {
		if p.ended || h.bytes == 0 {
			continue
		}
		if rate := p.rate(now); rate < lowest {
			slowest, lowest = h, rate
		}
	}
	return slowest, b.senders[slowest]
}
