package expertmap

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/rotisserie/eris"
)

// Input is everything that a plan depends on; equal inputs give equal plans.
type Input struct {
	Shape   Shape
	Counts  Counts    // forecast tokens by layer and expert
	Speeds  []float64 // by rank, 1 = nominal; nil = all nominal
	Current Map       // map in use, remapped to the ranks of the shape
	// Price is the reduction of a layer's skew that one expert move has to bring.
	Price float64
	// MaxNew bounds the experts of one layer that a rank may load, 0 = no limit.
	MaxNew int
	// MaxNewTotal bounds the experts of all layers that a rank may load, 0 = no limit.
	// Layers with the largest gain for each move come first.
	MaxNewTotal int
}

// Result is a plan with its expected effect.
type Result struct {
	Map        Map
	SkewBefore float64 // 0 if the current map did not place every expert
	SkewAfter  float64
	Moves      int // experts that ranks have to load
}

const (
	// targetRanks is how many of the fastest ranks are tried as partners of
	// the slowest one.
	targetRanks = 4
	// changesPerRank bounds the changes tried in one layer, per rank.
	changesPerRank = 4
	// maxWithoutGain bounds the consecutive changes that bring no improvement.
	maxWithoutGain = 48
)

func (in Input) validate() error {
	s := in.Shape
	if s.Ranks*s.Slots < s.Experts {
		return eris.Wrapf(ErrTooFewSlots, "%d ranks with %d slots for %d experts", s.Ranks, s.Slots, s.Experts)
	}
	if len(in.Counts) != s.Layers || len(in.Current.Layers) != s.Layers {
		return eris.Wrapf(ErrShape, "%d layers of counts, %d of the map, want %d", len(in.Counts), len(in.Current.Layers), s.Layers)
	}
	for l := range s.Layers {
		if len(in.Counts[l]) != s.Experts || len(in.Current.Layers[l]) != s.Ranks*s.Slots {
			return eris.Wrapf(ErrShape, "layer %d: %d counts and %d slots", l, len(in.Counts[l]), len(in.Current.Layers[l]))
		}
	}
	return nil
}

// Plan improves the current map where the gain is worth the moves.
func Plan(in Input) (Result, error) {
	if err := in.validate(); err != nil {
		return Result{}, err
	}
	var res Result
	if in.Current.Validate(in.Shape) == nil {
		res.SkewBefore = Skew(in.Current, in.Counts, in.Shape.Slots, in.Speeds)
	}
	res.Map = Map{Version: in.Current.Version, Layers: make([][]int32, in.Shape.Layers)}
	for l := range in.Shape.Layers {
		res.Map.Layers[l] = planLayer(in, l)
	}
	in.limitLoads(res.Map)
	res.SkewAfter = Skew(res.Map, in.Counts, in.Shape.Slots, in.Speeds)
	res.Moves = Moves(in.Current, res.Map, in.Shape.Slots)
	if res.Moves > 0 {
		res.Map.Version++
	}
	return res, nil
}

func planLayer(in Input, l int) []int32 {
	start := append([]int32(nil), in.Current.Layers[l]...)
	placeMissing(start, in.Counts[l], in.Shape, in.Speeds)
	s := newLayerState(start, in.Counts[l], in.Shape.Slots, in.Speeds)
	if s.mean == 0 {
		return start
	}
	ideal := replicate(in.Counts[l], in.Shape)
	best := append([]int32(nil), s.slots...)
	bestCost := s.slowest() / s.mean
	withoutGain := 0
	for range changesPerRank * in.Shape.Ranks {
		if withoutGain++; withoutGain > maxWithoutGain {
			break
		}
		if !s.improve() && !s.rebalanceReplicas(ideal) {
			break
		}
		moves := layerMoves(start, s.slots, in.Shape.Slots)
		cost := s.slowest()/s.mean + in.Price*float64(moves)
		if in.MaxNew > 0 && maxNewExperts(start, s.slots, in.Shape.Slots) > in.MaxNew {
			continue
		}
		if cost < bestCost-costEpsilon {
			bestCost, withoutGain = cost, 0
			copy(best, s.slots)
		}
	}
	return best
}

// costEpsilon keeps rounding errors from counting as gains.
const costEpsilon = 1e-9

// placeMissing places every expert that has no slot: in an empty slot of the least loaded
// rank, or else in place of a redundant replica.
func placeMissing(slots []int32, counts []float64, shape Shape, speeds []float64) {
	replicas := make([]int, shape.Experts)
	for _, e := range slots {
		if e != Empty {
			replicas[e]++
		}
	}
	var missing []int32
	for e, n := range replicas {
		if n == 0 {
			missing = append(missing, int32(e))
		}
	}
	slices.SortStableFunc(missing, func(a, b int32) int { return cmp.Compare(counts[b], counts[a]) })
	for _, e := range missing {
		s := newLayerState(slots, counts, shape.Slots, speeds)
		at := s.slotFor(replicas)
		if old := slots[at]; old != Empty {
			replicas[old]--
		}
		slots[at] = e
		replicas[e]++
	}
}

// slotFor returns the slot to overwrite with a missing expert.
func (s *layerState) slotFor(replicas []int) int {
	best, bestKey := -1, [2]float64{}
	for i, e := range s.slots {
		if e != Empty && replicas[e] < 2 {
			continue
		}
		key := [2]float64{0, s.times[i/s.perRank]}
		if e != Empty {
			key[0] = 1
		}
		if best < 0 || key[0] < bestKey[0] || key[0] == bestKey[0] && key[1] < bestKey[1] {
			best, bestKey = i, key
		}
	}
	return best
}

// Repack plans a map from the counts alone: the baseline with the least skew and the most
// moves.
func Repack(in Input) (Result, error) {
	if err := in.validate(); err != nil {
		return Result{}, err
	}
	res := Result{Map: Map{Version: in.Current.Version + 1, Layers: make([][]int32, in.Shape.Layers)}}
	for l := range in.Shape.Layers {
		res.Map.Layers[l] = repackLayer(in.Counts[l], in.Shape, in.Speeds)
	}
	res.SkewAfter = Skew(res.Map, in.Counts, in.Shape.Slots, in.Speeds)
	res.Moves = Moves(in.Current, res.Map, in.Shape.Slots)
	return res, nil
}

func repackLayer(counts []float64, shape Shape, speeds []float64) []int32 {
	replicas := replicate(counts, shape)
	type piece struct {
		expert int32
		load   float64
	}
	var pieces []piece
	for e, n := range replicas {
		for range n {
			pieces = append(pieces, piece{int32(e), counts[e] / float64(n)})
		}
	}
	slices.SortStableFunc(pieces, func(a, b piece) int { return cmp.Compare(b.load, a.load) })
	slots := make([]int32, shape.Ranks*shape.Slots)
	for i := range slots {
		slots[i] = Empty
	}
	used := make([]int, shape.Ranks)
	times := make([]float64, shape.Ranks)
	for _, p := range pieces {
		best := -1
		for r := range shape.Ranks {
			if used[r] == shape.Slots {
				continue
			}
			twice := contains(slots[r*shape.Slots:r*shape.Slots+used[r]], p.expert)
			if best < 0 || !twice && times[r] < times[best] {
				best = r
			}
		}
		slots[best*shape.Slots+used[best]] = p.expert
		used[best]++
		times[best] += p.load / speedOf(speeds, best)
	}
	return slots
}

// replicate distributes the spare slots to the experts with the largest load per replica.
func replicate(counts []float64, shape Shape) []int {
	h := &replicaHeap{replicas: make([]int, shape.Experts), counts: counts}
	for e := range shape.Experts {
		h.replicas[e] = 1
		h.order = append(h.order, e)
	}
	heap.Init(h)
	for spare := shape.Ranks*shape.Slots - shape.Experts; spare > 0 && h.Len() > 0; spare-- {
		e := h.order[0]
		if h.replicas[e] >= shape.Ranks {
			heap.Pop(h)
			spare++
			continue
		}
		h.replicas[e]++
		heap.Fix(h, 0)
	}
	return h.replicas
}

type replicaHeap struct {
	order    []int
	replicas []int
	counts   []float64
}

func (h *replicaHeap) share(e int) float64 { return h.counts[e] / float64(h.replicas[e]) }
func (h *replicaHeap) Len() int            { return len(h.order) }
func (h *replicaHeap) Swap(i, j int)       { h.order[i], h.order[j] = h.order[j], h.order[i] }
func (h *replicaHeap) Push(x any)          { h.order = append(h.order, x.(int)) }
func (h *replicaHeap) Less(i, j int) bool {
	a, b := h.order[i], h.order[j]
	return cmp.Or(cmp.Compare(h.share(b), h.share(a)), cmp.Compare(a, b)) < 0
}

func (h *replicaHeap) Pop() any {
	last := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return last
}
