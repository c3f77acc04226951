package relay

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// dialCase is the error of a dial, and what it says of the target.
type dialCase struct {
	Errno    syscall.Errno `json:"errno"`
	Unknown  bool          `json:"unknown"`  // It says nothing of the health of the target.
	Reported bool          `json:"reported"` // The other nodes learn it.
}

// TestOwnShortageSaysNothingOfTheTarget guards against targets that are avoided by the
// whole fleet because one node lacked file descriptors or ports.
func TestOwnShortageSaysNothingOfTheTarget(t *testing.T) {
	script.Run(t, "testdata/dials/*.json", func(t *testing.T, cases map[string]dialCase) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				client := &wire.Client{Network: failingDials{errno: c.Errno}, Clock: ports.SystemClock{}}
				_, err := client.Do(t.Context(), wire.Call{Address: "10.0.0.1:80", Method: "GET", URI: "/"})
				_, reported := reportKindOf(err)
				got := dialCase{Errno: c.Errno, Unknown: outcomeOf(err) == place.Unknown, Reported: reported}
				if diff := cmp.Diff(c, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
				if v := fault.VerdictOf(err); v != fault.NotRun {
					t.Errorf("verdict %s", v)
				}
			})
		}
	})
}

// failingDials is a network on which every dial fails.
type failingDials struct {
	ports.SystemNetwork
	errno syscall.Errno
}

func (n failingDials) Dial(context.Context, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", n.errno)}
}
