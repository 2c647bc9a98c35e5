package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// prompt returns the fingerprints of a request that equals no other one, with the given parts
// before its own.
func prompt(n int, parts ...string) []Fingerprint {
	own := fmt.Sprint("own ", n)
	return Identity{Target: own, Prompt: append(parts, own), Body: []byte(own)}.Fingerprints()
}

// part returns the fingerprints to judge one part by.
func part(name string) []Fingerprint { return prompt(0, name)[2:] }

// lose records that a server ended under an attempt that was admitted when all earlier ends
// were known.
func (t *Table) lose(fingerprints []Fingerprint, server ServerKey, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for position, f := range fingerprints {
		round := 1
		if r := t.records[f]; r != nil {
			round = r.nextRound()
		}
		t.addEnd(f, End{Server: server, Round: round, At: at}, position, ownAttempt)
	}
}

// The first part of the prompts is common to the lethal requests and to sound ones, one of
// which was on a server that ended.
func TestPartBeforeALethalOneIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	now := start
	table.lose(prompt(1, "first", "lethal"), 1, now)
	table.lose(prompt(2, "first"), 1, now)
	for n := 3; n <= 6; n++ {
		now = now.Add(3 * time.Second)
		table.lose(prompt(n, "first", "lethal"), ServerKey(n), now)
		table.lose(prompt(100+n, "another"), ServerKey(n), now)
	}
	is.Equal(table.Judge(part("lethal"), now).Status, Quarantined)
	is.Equal(table.Judge(part("first"), now).Status, Unsuspected)
	is.Equal(table.Judge(part("another"), now).Status, Unsuspected)
	is.Equal(table.Judge(prompt(7, "first"), now).Status, Unsuspected)
	_, permission := table.Admit(prompt(7, "first", "lethal"), now)
	is.Equal(permission, Refused)
	is.Equal(table.Count(KindPart, Quarantined, now), 1)
	is.Equal(table.Count(KindRequest, Quarantined, now), 0)
}

// Two lethal parts of different prompts end servers at the same moments.
func TestTwoLethalPartsAreBothQuarantined(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	now := start
	for n := range 3 {
		table.lose(prompt(n, "first", "lethal"), ServerKey(10*n+1), now)
		table.lose(prompt(100+n, "second", "harmful"), ServerKey(10*n+2), now.Add(time.Millisecond))
		now = now.Add(3 * time.Second)
	}
	is.Equal(table.Judge(part("lethal"), now).Status, Quarantined)
	is.Equal(table.Judge(part("harmful"), now).Status, Quarantined)
	is.Equal(table.Judge(part("first"), now).Status, Unsuspected)
	is.Equal(table.Judge(part("second"), now).Status, Unsuspected)
}

// The lethal part is the first one: no part after it is common to several ends.
func TestLethalFirstPartIsQuarantined(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	now := start
	for n := range 3 {
		table.lose(prompt(n, "lethal", fmt.Sprint("second ", n)), ServerKey(n), now)
		now = now.Add(3 * time.Second)
	}
	is.Equal(table.Judge(part("lethal"), now).Status, Quarantined)
	is.Equal(table.Judge(part("second 1"), now).Status, Unsuspected)
}

// A request that is repeated explains the ends, not the parts that it shares with others.
func TestPartsOfALethalRequestAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	now := start
	for n := range 3 {
		table.lose(prompt(1, "first"), ServerKey(n), now)
		now = now.Add(3 * time.Second)
	}
	is.Equal(table.Judge(prompt(1, "first"), now).Status, Quarantined)
	is.Equal(table.Judge(prompt(2, "first"), now).Status, Unsuspected)
}

// A part that a server has begun to answer crashes none, whatever ended before or at the same
// time.
func TestAnsweredPartIsCleared(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.lose(prompt(1, "first"), 1, start)
	table.lose(prompt(2, "first"), 2, start.Add(3*time.Second))
	now := start.Add(4 * time.Second)
	is.Equal(table.Judge(part("first"), now).Status, OnTrial)
	table.Began(prompt(3, "first")[2:], now)
	is.Equal(table.Judge(part("first"), now).Status, Unsuspected)
	table.lose(prompt(4, "first"), 3, now.Add(partClearedTTL/2))
	is.Equal(table.Judge(part("first"), now).Status, Unsuspected)
	table.lose(prompt(5, "first"), 4, now.Add(2*partClearedTTL))
	is.Equal(table.Judge(part("first"), now.Add(2*partClearedTTL)).Status, Suspected)
}

// Each process tries one request with a suspected part at a time, until it has begun to be
// answered.
func TestSuspectedPartIsTriedOnceByEachProcess(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.lose(prompt(1, "first"), 1, start)
	now := start.Add(time.Second)
	attempt, permission := table.Admit(prompt(2, "first"), now)
	is.Equal(permission, Granted)
	_, permission = table.Admit(prompt(3, "first"), now)
	is.Equal(permission, Wait)
	table.Began(prompt(2, "first")[2:], now)
	_, permission = table.Admit(prompt(3, "first"), now)
	is.Equal(permission, Granted)
	attempt.Release()
}

// A part that all requests share is answered all the time. The first end of a server made a
// suspect of it, and each process held all requests back but one.
func TestPartThatWasJustAnsweredIsNotSuspected(t *testing.T) {
	is := is.New(t)
	a, b := newTable("a"), newTable("b")
	a.Began(prompt(1, "common")[2:], start)
	b.Began(prompt(2, "common")[2:], start)
	now := start.Add(partClearedTTL / 2)
	a.lose(prompt(3, "common"), 1, now)
	is.Equal(a.Judge(part("common"), now).Status, Unsuspected)
	b.Receive("a", a.Report(now), now)
	is.Equal(b.Judge(part("common"), now).Status, Unsuspected)
	now = now.Add(10 * partClearedTTL)
	a.lose(prompt(4, "common"), 2, now)
	is.Equal(a.Judge(part("common"), now).Status, Suspected)
}

// An attempt that a stalled group does not answer held all requests with a suspected part
// back until it was lost.
func TestStuckAttemptDoesNotHoldBackASuspectedPart(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	table.lose(prompt(1, "first"), 1, start)
	now := start.Add(time.Second)
	_, permission := table.Admit(prompt(2, "first"), now)
	is.Equal(permission, Granted)
	_, permission = table.Admit(prompt(3, "first"), now.Add(unansweredLimit/2))
	is.Equal(permission, Wait)
	_, permission = table.Admit(prompt(3, "first"), now.Add(unansweredLimit))
	is.Equal(permission, Granted)
}

// When a rack or everything fails, a part that all requests share is neither quarantined nor
// tried one at a time.
func TestPartOfAllRequestsSurvivesTheEndOfAllServers(t *testing.T) {
	for _, servers := range []int{3, 8, 16} {
		is := is.New(t)
		table := newTable("a")
		for server := range servers {
			var attempt Attempt // none of them knew of an end
			table.Ended(prompt(server, "common"), &attempt, ServerKey(server), start.Add(time.Duration(server)*time.Millisecond))
		}
		is.True(table.Judge(part("common"), start.Add(time.Second)).Status < OnTrial)
	}
}

// Copies of a lethal request end two servers in one round. The part that it shares with sound
// requests was taken for the cause before the request was.
func TestCopiesOfALethalRequestDoNotConvictItsParts(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	var attempt Attempt
	table.Ended(prompt(1, "first"), &attempt, 1, start)
	table.Ended(prompt(1, "first"), &attempt, 2, start.Add(time.Second))
	table.lose(prompt(1, "first"), 3, start.Add(3*time.Second))
	is.True(table.Judge(part("first"), start.Add(3*time.Second)).Status < Quarantined)
	table.lose(prompt(1, "first"), 4, start.Add(6*time.Second))
	now := start.Add(6 * time.Second)
	is.Equal(table.Judge(prompt(1, "first"), now).Status, Quarantined)
	is.Equal(table.Judge(prompt(2, "first"), now).Status, Unsuspected)
}
