package wire

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/script"
)

// endless is a source without an end. It counts the bytes read.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// bufferCase reads responses without an end into bodies that share a budget.
type bufferCase struct {
	Budget   int64 `json:"budget"`
	Limit    int   `json:"limit"`
	Want     []int `json:"want"`     // Bytes read of each response.
	Released []int `json:"released"` // The same after the buffers were released.
}

func TestEndlessBodiesStayWithinTheBudget(t *testing.T) {
	script.Run(t, "testdata/buffers/*.json", func(t *testing.T, c bufferCase) {
		budget := &BufferBudget{Limit: c.Budget}
		var buffers []*Body
		for _, want := range [][]int{c.Want, c.Released} {
			var got []int
			for range want {
				b := &Body{Budget: budget, Limit: c.Limit}
				buffers = append(buffers, b)
				source := &endless{}
				if err := b.ReadAll(source); !isTooLarge(err) {
					t.Errorf("error %v, want one of kind too large", err)
				}
				got = append(got, source.read)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("bytes read (-want +got):\n%s", diff)
			}
			for _, b := range buffers {
				b.Release()
			}
			buffers = nil
		}
		if diff := cmp.Diff(int64(0), budget.Used()); diff != "" {
			t.Errorf("bytes in use in the end (-want +got):\n%s", diff)
		}
	})
}

func isTooLarge(err error) bool {
	var e *fault.Error
	return errors.As(err, &e) && e.Kind == fault.TooLarge
}
