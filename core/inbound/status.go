package inbound

// Status is the state of a set, for metrics in JSON.
type Status struct {
	HeadBytes int64            `json:"head_bytes"` // reserved for heads
	BodyBytes int64            `json:"body_bytes"` // reserved for bodies and buffered answers
	Listeners []ListenerStatus `json:"listeners"`
}

// ListenerStatus is the state of a listener.
type ListenerStatus struct {
	Name        string           `json:"name"`
	Connections int              `json:"connections"`
	Ended       map[string]int64 `json:"ended"` // connections closed and requests refused, by reason
}

// Status returns the state of the set.
func (s *Set) Status() Status {
	out := Status{HeadBytes: s.heads.Used(), BodyBytes: s.bodies.Used()}
	for _, l := range s.Listeners() {
		status := ListenerStatus{Name: l.name, Connections: l.Connections(), Ended: make(map[string]int64, reasons)}
		for _, r := range Reasons() {
			status.Ended[r.String()] = l.Count(r)
		}
		out.Listeners = append(out.Listeners, status)
	}
	return out
}
