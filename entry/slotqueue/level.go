package slotqueue

// Level is the priority class of a waiting request, 0 to 36. 0 is the most urgent.
type Level int

const (
	// priorities and routePriorities are the numbers of priorities that are told apart. Less
	// urgent ones count as the last.
	priorities, routePriorities = 6, 3
	// repeatedLevel is the level of all requests that are sent again after a refusal.
	repeatedLevel Level = priorities * routePriorities * 2
	levels              = int(repeatedLevel) + 1
)

// LevelCriteria are what the level of a request follows from, the most significant first.
type LevelCriteria struct {
	// Repeated is set if the caller sent the request before and was refused, so that it can
	// no longer be on time.
	Repeated bool
	// Priority is the priority of the team, or of the route if the team has none.
	Priority int
	// RoutePriority orders the requests of teams with the same priority.
	RoutePriority int
	// OverShare is set if the team is over its share.
	OverShare bool
}

// Level returns the level of a request.
func (u LevelCriteria) Level() Level {
	if u.Repeated {
		return repeatedLevel
	}
	l := min(max(0, u.Priority), priorities-1)*routePriorities + min(max(0, u.RoutePriority), routePriorities-1)
	l *= 2
	if u.OverShare {
		l++
	}
	return Level(l)
}

// Counts is a number of requests for each level.
type Counts [levels]int

// Above returns the number of requests that are more urgent than the level.
func (c *Counts) Above(l Level) int {
	n := 0
	for _, one := range c[:l] {
		n += one
	}
	return n
}

// Total returns the number of requests of all levels.
func (c *Counts) Total() int { return c.Above(Level(levels)) }

// mostUrgent returns the most urgent level that has requests, or levels if none has.
func (c *Counts) mostUrgent() Level {
	for l, one := range c {
		if one > 0 {
			return Level(l)
		}
	}
	return Level(levels)
}
