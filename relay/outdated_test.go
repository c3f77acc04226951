package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// unknownCase is a request for a route or with a key that a node may not know.
type unknownCase struct {
	Outdated bool   `json:"outdated"` // Another VM has a newer configuration.
	Path     string `json:"path"`
	Key      string `json:"key"`
	Want     string `json:"want"` // Kind of the error; empty for none.
}

func TestUnknownRoutesAndKeysOfAnOutdatedConfiguration(t *testing.T) {
	script.Run(t, "testdata/outdated/*.json", func(t *testing.T, data map[string]unknownCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testUnknown(t, c) })
		}
	})
}

func testUnknown(t *testing.T, c unknownCase) {
	config := site.NewConfig(site.Config{
		Revision: 3, Accounts: []site.ClientAccount{{Name: "a", Keys: []string{"known"}}},
		Routes: []site.Route{{Name: "r", Host: "h", Prefix: "/known/", Timeout: time.Second, Backends: []site.Backend{{Service: "s", Weight: 1}}}},
	})
	s := &Server{
		Names: HeaderNames{Request: "Id", AccountKey: "Key"}, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1),
		Config: func() site.Config { return config }, Outdated: func() bool { return c.Outdated },
		Directory: func() site.Directory { return site.NewDirectory(site.Directory{}) },
	}
	request := &wire.Request{Method: "GET", URI: c.Path, Headers: wire.Headers{{Name: "Host", Value: "h"}, {Name: "Id", Value: "1"}, {Name: "Key", Value: c.Key}}}
	x := newExchange(&clientConn{server: s}, request, time.Now())
	got := ""
	if err := x.prepare(); err != nil {
		got = fault.From(err).Kind.String()
	}
	if diff := cmp.Diff(c.Want, got); diff != "" {
		t.Errorf("kind of error (-want +got):\n%s", diff)
	}
}
