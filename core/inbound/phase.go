package inbound

import (
	"container/list"
	"time"
)

// phase is what a connection is waiting for.
type phase int

const (
	phaseNew       phase = iota // the first byte of its first request
	phaseHead                   // the rest of a head
	phaseIdle                   // the first byte of its next request
	phaseServing                // the process itself
	phaseBody                   // the rest of a body
	phaseWriting                // the client, which has to read an answer
	phaseWatching               // changes, which the client watches
	phaseLingering              // the client, which has to send what nobody needs, or to read a refusal
	phaseTrusted                // nothing: the peer is known and no longer bounded
	phases
)

// phaseLists holds the connections of a listener by phase, each list in the order in which they
// entered it. The listener's lock guards it.
type phaseLists [phases]list.List // of *Conn

func (l *phaseLists) add(c *Conn, p phase, now time.Time) {
	c.phase, c.since = p, now
	c.place = l[p].PushBack(c)
}

func (l *phaseLists) remove(c *Conn) {
	l[c.phase].Remove(c.place)
	c.place = nil
}

func (l *phaseLists) move(c *Conn, to phase, now time.Time) {
	if c.phase == to {
		l[to].MoveToBack(c.place)
		c.since = now
		return
	}
	l.remove(c)
	l.add(c, to, now)
}

// oldest returns the connection that entered a phase first, or nil.
func (l *phaseLists) oldest(p phase) *Conn {
	if e := l[p].Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// minWaitToEnd is the time for which a connection has to have kept the process waiting before it is
// closed in favor of another one while there are others.
const minWaitToEnd = 100 * time.Millisecond

// victim returns the connection to close in favor of a new one, or nil if there is none: the one that
// waits for its client for the longest time, used ones that are idle and those that watch after all
// others.
func (l *phaseLists) victim(now time.Time) *Conn {
	first := l.oldestOf(phaseNew, phaseHead, phaseBody, phaseWriting, phaseLingering)
	if first != nil && now.Sub(first.since) >= minWaitToEnd {
		return first
	}
	for _, p := range []phase{phaseIdle, phaseWatching} {
		if c := l.oldest(p); c != nil {
			return c
		}
	}
	return first
}

// oldestOf returns the connection that has been in one of the phases for the longest time, or nil.
func (l *phaseLists) oldestOf(among ...phase) *Conn {
	var oldest *Conn
	for _, p := range among {
		c := l.oldest(p)
		if c != nil && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}
