package speed

import (
	"slices"
	"time"
)

const (
	// answerWeight is the weight of the newest answer in the smoothed time of a server.
	answerWeight = 0.2
	// routeWeight is the weight of the newest answer in the typical time of a route. It is
	// lower, so that the routes follow the servers and not the reverse.
	routeWeight = 0.05
	// latestAnswers is the number of answers whose median is smoothed.
	latestAnswers = 3
	// minAnswers is how many answers a server's slowness is based on at least. The faster
	// of the first two counts.
	minAnswers = 2
	// stepFactor is the factor by which all of the latest answers differ from the smoothed
	// time if the server's speed has changed. The smoothed time then starts again: gateways
	// that send a server one request a second would otherwise need ten seconds.
	stepFactor = 1.5
	// idleProbeAge is the age of the latest answer from which a server that gets only a
	// trickle is due for a request of this process if it is idle. It bounds the late answers
	// of a process with few requests.
	idleProbeAge = 2 * time.Second
	// probeAge is the same if the server has requests of other processes. It is below
	// lifetime, so that the slowness of the server does not expire in a large fleet, where
	// the single request in flight is seldom one of this process.
	probeAge = 7 * time.Second
	// recoveryFactor is how much faster than its smoothed time a server answers when it
	// seems to recover.
	recoveryFactor = 2
	// lifetime is how long a server's slowness is valid without answers.
	lifetime = 10 * time.Second
	// maxRoutes bounds the routes of which a typical time is kept. The others share one.
	maxRoutes = 64
)

// Service learns the speeds of the servers of one service. The zero value is ready for
// use. It is not safe for concurrent use.
type Service struct {
	servers map[string]*server
	routes  map[string]*typical
	all     typical // over all routes
	ratios  []float64
	changes changes
}

// server is what is known of one server.
type server struct {
	latest   [latestAnswers]float64 // latest times, relative to the typical time of their route
	answers  int                    // number of answers
	ratio    float64                // smoothed relative time; the median server has 1
	at       time.Time              // time of the latest answer
	reported bool                   // it was last reported as slow
}

func (s *server) known() bool { return s.answers >= minAnswers }

// typical is the smoothed time of answers of the median server.
type typical struct {
	time    float64 // in seconds
	answers int
}

func (t *typical) add(seconds float64) {
	t.answers++
	t.time += max(routeWeight, 1/float64(t.answers)) * (seconds - t.time)
}

// Answered records an answer of a server, which worked on it for a time between least and
// most. The two differ if the request may have queued.
func (s *Service) Answered(id, route string, least, most time.Duration, now time.Time) {
	if least <= 0 || most < least {
		return
	}
	s.expire(now)
	one := s.servers[id]
	if one == nil {
		one = &server{}
		if s.servers == nil {
			s.servers = make(map[string]*server)
		}
		s.servers[id] = one
	}
	t := s.route(route)
	took := least.Seconds()
	if one.known() {
		took = min(most.Seconds(), max(took, t.time*one.ratio)) // what was expected, if possible
	}
	if t.answers == 0 {
		s.learnRoute(t, one, took)
		one.add(took/t.time, now)
	} else {
		one.add(took/t.time, now)
		s.learnRoute(t, one, took)
	}
	s.normalize()
}

// learnRoute updates the typical time of a route. Answers of servers of unknown speed count
// only if there are no others.
func (s *Service) learnRoute(t *typical, one *server, took float64) {
	switch {
	case one.known():
		took /= one.ratio
	case t.answers > 0:
		return
	}
	if t.answers > 0 {
		took = min(stepFactor*t.time, max(t.time/stepFactor, took)) // bounds the effect of outliers
	}
	t.add(took)
	s.all.add(took)
}

// add records a relative time.
func (s *server) add(relative float64, now time.Time) {
	s.latest[s.answers%latestAnswers] = relative
	s.answers++
	s.at = now
	sorted := s.latest
	slices.Sort(sorted[:])
	least, middle, most := sorted[0], sorted[1], sorted[2]
	switch {
	case !s.known():
	case s.answers == minAnswers:
		s.ratio = min(s.latest[0], s.latest[1])
	case least > stepFactor*s.ratio, most < s.ratio/stepFactor:
		s.ratio = middle
	default:
		s.ratio += answerWeight * (middle - s.ratio)
	}
}

// route returns the typical time of a route.
func (s *Service) route(name string) *typical {
	t := s.routes[name]
	switch {
	case t != nil:
		return t
	case len(s.routes) >= maxRoutes:
		name = "" // shared by the routes without an own entry
		if t = s.routes[name]; t != nil {
			return t
		}
	case s.routes == nil:
		s.routes = make(map[string]*typical)
	}
	t = &typical{}
	s.routes[name] = t
	return t
}

// normalize scales the relative times of the servers so that the median server has 1, and
// the typical times of the routes accordingly.
func (s *Service) normalize() {
	s.ratios = s.ratios[:0]
	for _, one := range s.servers {
		if one.known() {
			s.ratios = append(s.ratios, one.ratio)
		}
	}
	if len(s.ratios) == 0 {
		return
	}
	slices.Sort(s.ratios)
	median := s.ratios[(len(s.ratios)-1)/2]
	for _, one := range s.servers {
		one.ratio /= median
		for i := range one.latest {
			one.latest[i] /= median
		}
	}
	for _, t := range s.routes {
		t.time *= median
	}
	s.all.time *= median
}

// expire discards what is known of servers that have not answered for too long.
func (s *Service) expire(now time.Time) {
	for id, one := range s.servers {
		switch {
		case now.Sub(one.at) < lifetime:
		case one.reported: // kept until its change is reported
			*one = server{at: one.at, reported: true}
		default:
			delete(s.servers, id)
		}
	}
}

// Forget discards what is known of a server.
func (s *Service) Forget(id string) {
	delete(s.servers, id)
	s.normalize()
}

// Slowness returns how much longer than the median server a server takes for an answer: 1
// = not longer, or unknown.
func (s *Service) Slowness(id string, now time.Time) float64 {
	one := s.servers[id]
	if one == nil || !one.known() || now.Sub(one.at) >= lifetime {
		return 1
	}
	return max(1, one.ratio)
}

// ProbeDue reports whether a server that gets only a trickle is due for a request of this
// process: its latest answer is old, or so fast that the server seems to recover. A server
// that is idle, with no request of any process in flight, is due earlier.
func (s *Service) ProbeDue(id string, idle bool, now time.Time) bool {
	one := s.servers[id]
	if one == nil || one.answers == 0 {
		return true
	}
	age := now.Sub(one.at)
	if age >= probeAge || idle && age >= idleProbeAge {
		return true
	}
	newest := one.latest[(one.answers-1)%latestAnswers]
	return recoveryFactor*newest <= one.ratio
}

// ServiceTime returns the expected time of a server for a request of any route, 0 =
// unknown.
func (s *Service) ServiceTime(id string, now time.Time) time.Duration {
	return seconds(s.all.time * s.Slowness(id, now))
}

// Typical returns the time that the median server takes for a request of the route, 0 =
// unknown.
func (s *Service) Typical(route string) time.Duration {
	if t := s.routes[route]; t != nil {
		return seconds(t.time)
	}
	return seconds(s.all.time)
}

// MaxSlowness returns the slowness of the slowest server.
func (s *Service) MaxSlowness(now time.Time) float64 {
	slowest := 1.0
	for id := range s.servers {
		slowest = max(slowest, s.Slowness(id, now))
	}
	return slowest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
