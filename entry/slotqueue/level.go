package slotqueue

// Level is the urgency of a request, 0 is the most urgent.
type Level int

// levels is the number of levels. Less urgent priorities share the last two.
const levels = 16

// LevelOf returns the level of a request by its priority and by whether its team is over
// its share.
func LevelOf(priority int, overShare bool) Level {
	l := 2 * min(max(0, priority), levels/2-1)
	if overShare {
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
func (c *Counts) Total() int { return c.Above(levels) }

// mostUrgent returns the most urgent level that has requests, or levels if none has.
func (c *Counts) mostUrgent() Level {
	for l, one := range c {
		if one > 0 {
			return Level(l)
		}
	}
	return levels
}
