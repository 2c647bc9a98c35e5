package rank

import "context"

// API is the platform's interface to one rank.
type API interface {
	// Report returns the rank's current state.
	Report(ctx context.Context) (Report, error)
	// Counts returns how many tokens the rank's requests have routed to each expert.
	Counts(ctx context.Context) (Counts, error)
	// Placement returns the experts of this rank by layer in the map in use.
	Placement(ctx context.Context) (Placement, error)
	// Order sends an order. An error means that there was no answer: the order
	// may have been carried out, or may be carried out later.
	Order(ctx context.Context, o Order) (Result, error)
}

// Report is a rank's state.
type Report struct {
	Group    string
	Epoch    uint64 // number of the group's formation
	Rank     int
	Size     int // number of ranks in the group
	Open     bool
	Busy     bool    // an order is being carried out
	Sequence uint64  // number of orders begun
	Slowdown float64 // duration of a step over its usual duration; more than 1 is slow
	Running  int     // requests in the batch
	Waiting  int     // requests in the queue

	Step     uint64 // the last step begun
	Map      uint64 // version in use
	Prepared uint64 // version loaded in addition, 0 = none
	Armed    Arming
	Held     uint64 // step that the group must not begin, 0 = none
}

// Arming is the step from which a rank uses a version; zero = not armed.
type Arming struct {
	Version, Step uint64
}

// Counts are token counts by layer and expert since the rank started.
type Counts struct {
	Step, Epoch uint64
	Tokens      []int64 // the experts of all layers, concatenated
}

// Placement is one rank's part of the map in use.
type Placement struct {
	Epoch, Version uint64
	Layers         [][]int32 // experts by layer
}

// OrderKind is the type of an Order.
type OrderKind int

// Kinds of orders.
const (
	OrderPrepare OrderKind = iota + 1 // copy the experts of Map that the rank lacks
	OrderArm                          // use Version from Step on
	OrderHold                         // do not begin Step
	OrderRelease                      // lift the hold of Step
)

// String returns the kind's name.
func (k OrderKind) String() string { return [...]string{"", "prepare", "arm", "hold", "release"}[k] }

// Order is one order to a rank.
type Order struct {
	Kind     OrderKind
	Epoch    uint64
	Sequence uint64 // expected value of Report.Sequence
	// AnySequence disables the check of Sequence, for a sender that has not read the
	// rank's report.
	AnySequence bool
	Version     uint64
	Step        uint64
	Map         [][][]int32 // experts by layer and rank
}

// Result is a rank's answer to an order.
type Result int

// Results of an order.
const (
	ResultDone     Result = iota + 1 // carried out, or already in effect
	ResultBegun                      // begun, and takes a while
	ResultRefused                    // does not fit the rank's state, and had no effect
	ResultReplaced                   // another backend server now has the address
)
