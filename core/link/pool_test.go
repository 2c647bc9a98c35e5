package link

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"baywall.example/core/vm"
)

// ends reports whether a link ends soon.
func ends(l *Link) bool {
	select {
	case <-l.Done():
		return true
	case <-time.After(5 * time.Second):
		return false
	}
}

// A caller may have found the slot of a VM just before the slot is removed. A link that it
// opened there could be closed by nobody.
func TestNoLinkIsOpenedInARemovedSlot(t *testing.T) {
	remove := map[string]func(*Pool){
		"removed": func(p *Pool) { p.Retain(func(vm.ID) bool { return false }) },
		"closed":  (*Pool).Close,
	}
	for name, f := range remove {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(local("a"), nil, nil, nil)
			defer p.Close()
			b := vm.VM{ID: "b", Link: listen(t, nil, &echoHandler{})}
			s := p.slot(b.ID)
			f(p)
			l, _, err := p.getOrDial(t.Context(), s, b)
			if err == nil {
				l.Close()
			}
			is.True(err != nil)
		})
	}
}

func TestClosedPoolOpensNoLink(t *testing.T) {
	is := is.New(t)
	p := NewPool(local("a"), nil, nil, nil)
	b := vm.VM{ID: "b", Link: listen(t, nil, &echoHandler{})}
	_, err := p.Get(t.Context(), b)
	is.NoErr(err)
	p.Close()
	l, err := p.Get(t.Context(), b)
	if err == nil {
		l.Close()
	}
	is.True(eris.Is(err, ErrUnreachable))
	_, open := p.Lookup(b.ID)
	is.True(!open)
}

// A link that is being dialed while its slot is removed is closed.
func TestLinkThatIsBeingDialedIsClosed(t *testing.T) {
	is := is.New(t)
	dialing, proceed := make(chan struct{}), make(chan struct{})
	from := local("a")
	from.Revisions = func() (uint64, uint64) {
		close(dialing)
		<-proceed
		return 1, 2
	}
	p := NewPool(from, nil, nil, nil)
	b := vm.VM{ID: "b", Link: listen(t, nil, &echoHandler{})}
	got := make(chan *Link, 1)
	go func() {
		l, _ := p.Get(context.Background(), b)
		got <- l
	}()
	<-dialing
	closed := make(chan struct{})
	go func() {
		p.Close()
		close(closed)
	}()
	close(proceed)
	l := <-got
	<-closed
	is.True(l == nil || ends(l)) // nil if the pool was closed before the dial
}

// Every link ends with its pool, whatever was removed from the pool before.
func TestAllLinksEndWithTheirPool(t *testing.T) {
	is := is.New(t)
	p := NewPool(local("a"), nil, nil, nil)
	b := vm.VM{ID: "b", Link: listen(t, nil, &echoHandler{})}
	var mu sync.Mutex
	links := make(map[*Link]struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 50 {
				l, err := p.Get(context.Background(), b)
				if err != nil {
					continue
				}
				mu.Lock()
				links[l] = struct{}{}
				mu.Unlock()
			}
		})
	}
	wg.Go(func() {
		for range 200 {
			p.Retain(func(vm.ID) bool { return false })
		}
	})
	wg.Wait()
	p.Close()
	is.True(len(links) > 0)
	for l := range links {
		is.True(ends(l))
	}
}
