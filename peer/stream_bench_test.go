package peer

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
)

// BenchmarkStream measures a call that streams 128 chunks.
func BenchmarkStream(b *testing.B) {
	const parts = 128
	server, client := benchmarkPair(b)
	defer func() { _ = server.Close(); _ = client.Close() }()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			received := 0
			var got string
			err := client.Stream(context.Background(), "b", "parts", parts, &got, func(json.RawMessage) { received++ })
			if err != nil || received != parts {
				b.Errorf("%d chunks, %v", received, err)
				return
			}
		}
	})
}

func sendParts(_ context.Context, call Request) (any, error) {
	count, err := strconv.Atoi(string(call.Params))
	if err != nil {
		return nil, err
	}
	for i := range count {
		if err := call.Send(i); err != nil {
			return nil, err
		}
	}
	return "done", nil
}
