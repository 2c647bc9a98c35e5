package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/inbound"
	"baywall.example/core/timeline"
	"baywall.example/core/wire"
)

const (
	// maxPreallocated is up to which size memory for a message is taken before its bytes come.
	maxPreallocated = 16 << 10
	// largeCall is the size, in bytes, above which a call is large, and maxLargeCalls is how many of those
	// are sent on a link at a time.
	largeCall     = 16 << 10
	maxLargeCalls = 8
	// maxKeptBuffer is the size, in bytes, up to which a stream keeps its buffer for what it sends.
	maxKeptBuffer = 64 << 10
	// streamWindow is how much of a stream may have been received and not read, in bytes: the least that
	// the library allows.
	streamWindow = 256 << 10
	// streamBuffer is the size of a stream's read buffer, in bytes.
	streamBuffer = 1024
)

// Stream carries one call and its replies. At most one goroutine may send and one may
// receive at a time.
type Stream struct {
	raw     *yamux.Stream
	reader  *bufio.Reader
	link    *Link
	pending []byte        // queued, not yet sent
	memory  *inbound.Hold // of received messages, nil = without a bound
	close   sync.Once
}

func (l *Link) newStream(raw *yamux.Stream) *Stream {
	return &Stream{raw: raw, reader: bufio.NewReaderSize(raw, streamBuffer), link: l}
}

// Close ends the stream in both directions.
func (s *Stream) Close() { s.close.Do(func() { _ = s.raw.Close() }) }

// Abandon closes a stream whose further messages nobody needs, and discards them: else they would take
// memory here, and block the peer, until it gives up.
func (s *Stream) Abandon() {
	s.Close()
	s.SetReadDeadline(time.Now().Add(writeTimeout))
	go func() {
		_, _ = io.Copy(io.Discard, s.raw) // until the peer closes it, too, or the deadline
		s.raw.Shrink()
	}()
}

// SetReadDeadline sets the deadline of future receives; the zero time removes it.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.raw.SetReadDeadline(t) }

// SendCall sends a call stamped with the local clock. A large one waits while maxLargeCalls others are
// being sent on the link, so that small ones do not queue behind many of them.
func (s *Stream) SendCall(c *wire.Call) error {
	if proto.Size(c) > largeCall {
		if !s.link.beginLargeCall() {
			return eris.Wrap(ErrLost, "send: too many large calls")
		}
		defer s.link.endLargeCall()
	}
	c.Clock = uint64(s.link.local.Clock.Now(time.Now()))
	return s.send(c)
}

// beginLargeCall waits until a large call may be sent, and reports false if that takes too long.
func (l *Link) beginLargeCall() bool {
	timeout := time.NewTimer(writeTimeout)
	defer timeout.Stop()
	select {
	case l.largeCalls <- struct{}{}:
		return true
	case <-timeout.C:
	case <-l.Done():
	}
	return false
}

func (l *Link) endLargeCall() { <-l.largeCalls }

// SendReply sends a reply stamped with the local clock.
func (s *Stream) SendReply(r *wire.Reply) error {
	r.Clock = uint64(s.link.local.Clock.Now(time.Now()))
	return s.send(r)
}

// QueueReply buffers a reply until the next SendReply or Flush, so that replies which are
// ready at the same time are sent in one write.
func (s *Stream) QueueReply(r *wire.Reply) error {
	r.Clock = uint64(s.link.local.Clock.Now(time.Now()))
	return s.queue(r)
}

// Flush sends the queued replies.
func (s *Stream) Flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	_ = s.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.raw.Write(s.pending)
	if s.pending = s.pending[:0]; cap(s.pending) > maxKeptBuffer {
		s.pending = nil
	}
	if err != nil {
		return eris.Wrapf(ErrLost, "send: %v", err)
	}
	return nil
}

func (s *Stream) send(m proto.Message) error {
	if err := s.queue(m); err != nil {
		return err
	}
	return s.Flush()
}

// queue appends the length-prefixed message to the pending bytes.
func (s *Stream) queue(m proto.Message) error {
	s.pending = protowire.AppendVarint(s.pending, uint64(proto.Size(m)))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(s.pending, m)
	if err != nil {
		return eris.Wrapf(ErrProtocol, "send: %v", err)
	}
	s.pending = out
	return nil
}

// RecvCall receives a call and merges its clock stamp into the local clock.
func (s *Stream) RecvCall() (*wire.Call, error) {
	var c wire.Call
	if err := s.recv(&c); err != nil {
		return nil, err
	}
	s.link.local.Clock.Observe(timeline.Stamp(c.GetClock()), time.Now())
	return &c, nil
}

// RecvReply receives a reply and merges its clock stamp into the local clock.
func (s *Stream) RecvReply() (*wire.Reply, error) {
	var r wire.Reply
	if err := s.recv(&r); err != nil {
		return nil, err
	}
	s.link.local.Clock.Observe(timeline.Stamp(r.GetClock()), time.Now())
	return &r, nil
}

func (s *Stream) recv(m proto.Message) error {
	size, err := s.recvSize()
	if err != nil {
		return err
	}
	if err := s.reserve(size); err != nil {
		return err
	}
	raw, err := s.recvBytes(size)
	if err != nil {
		return eris.Wrapf(ErrLost, "receive: %v", err)
	}
	if err := proto.Unmarshal(raw, m); err != nil {
		return eris.Wrapf(ErrProtocol, "receive: %v", err)
	}
	s.shrink(size)
	return nil
}

// shrink drops what receiving a message of the size took beyond the message itself.
func (s *Stream) shrink(size int) {
	if s.memory == nil || size <= s.reader.Size() {
		return
	}
	s.raw.Shrink() // else the buffer is kept until the other side closes the stream, too
	s.memory.Shrink(int64(size))
}

// windowCost returns the memory, in bytes, that the stream's window takes for a message of the size.
// The library doubles its buffer when it is full.
func windowCost(size int) int { return 2 * min(size, streamWindow) }

// reserve reserves memory for a message of the size, as it comes and decoded. If there is no room, it
// discards the message, so that its sender does not wait until it gives up.
func (s *Stream) reserve(size int) error {
	if s.memory == nil || size <= s.reader.Size() {
		return nil
	}
	// One message that is larger than the whole budget is served alone.
	cost := min(int64(2*size+windowCost(size)), s.link.local.CallBudget.Limit())
	err := s.memory.Reserve(cost, s.link.Done())
	if err == nil {
		return nil
	}
	if _, err := io.CopyN(io.Discard, s.reader, int64(size)); err != nil {
		return eris.Wrapf(ErrLost, "receive: %v", err)
	}
	s.shrink(size)
	return eris.Wrapf(err, "message of %d bytes", size)
}

// recvSize receives the size of the next message, a varint.
func (s *Stream) recvSize() (int, error) {
	prefix := make([]byte, 0, binary.MaxVarintLen64)
	for {
		b, err := s.reader.ReadByte()
		if eris.Is(err, io.EOF) {
			return 0, eris.Wrap(ErrLost, "receive: end of stream")
		}
		if err != nil {
			return 0, eris.Wrapf(ErrLost, "receive: %v", err)
		}
		prefix = append(prefix, b)
		if b < 0x80 || len(prefix) == binary.MaxVarintLen64 {
			break
		}
	}
	size, n := protowire.ConsumeVarint(prefix)
	if n < 0 || size > MaxMessage {
		return 0, eris.Wrapf(ErrProtocol, "receive: message of %d bytes, allowed: %d", size, MaxMessage)
	}
	return int(size), nil
}

// recvBytes receives a message of the size. It takes memory only as its bytes come, as a peer may
// announce many large messages and send none. The result is valid until the next receive.
func (s *Stream) recvBytes(size int) ([]byte, error) {
	if size <= s.reader.Size() {
		raw, err := s.reader.Peek(size)
		_, _ = s.reader.Discard(len(raw)) // they are in the buffer
		return raw, err
	}
	var raw bytes.Buffer
	raw.Grow(min(size, maxPreallocated) + bytes.MinRead)
	_, err := io.CopyN(&raw, s.reader, int64(size))
	return raw.Bytes(), err
}
