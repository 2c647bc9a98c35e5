package bounded

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestReadAll(t *testing.T) {
	broken := errors.New("broken")
	for _, c := range []struct {
		name string
		in   io.Reader
		want string
		err  error
	}{
		{"empty", strings.NewReader(""), "", nil},
		{"below the limit", strings.NewReader("abc"), "abc", nil},
		{"at the limit", strings.NewReader("abcd"), "abcd", nil},
		{"above the limit", strings.NewReader("abcde"), "abcd", ErrTooLarge},
		{"far above the limit", strings.NewReader(strings.Repeat("a", 1<<20)), "aaaa", ErrTooLarge},
		{"one byte at a time", iotest.OneByteReader(strings.NewReader("abcde")), "abcd", ErrTooLarge},
		{"end with the last bytes", iotest.DataErrReader(strings.NewReader("abcd")), "abcd", nil},
		{"broken", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), "ab", broken},
		{"broken above the limit", io.MultiReader(strings.NewReader("abcde"), iotest.ErrReader(broken)), "abcd", ErrTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw, err := ReadAll(c.in, 4)
			is.Equal(string(raw), c.want)
			is.True(errors.Is(err, c.err))
		})
	}
}

// What comes after the limit is not read, however often.
func TestReaderStaysTooLarge(t *testing.T) {
	is := is.New(t)
	r := NewReader(strings.NewReader("abcdef"), 2)
	_, err := io.ReadAll(r)
	is.True(errors.Is(err, ErrTooLarge))
	n, err := r.Read(make([]byte, 8))
	is.Equal(n, 0)
	is.True(errors.Is(err, ErrTooLarge))
}
