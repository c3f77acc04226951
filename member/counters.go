package member

import (
	"errors"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of a [Service].
type counters struct {
	sent          *metrics.Counter
	sentBytes     *metrics.Counter
	received      *metrics.Counter
	receivedBytes *metrics.Counter
	dropped       *metrics.Counter
}

func newCounters(set *metrics.Set, s *Service) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("member_live", func() float64 { return float64(len(s.View().Live())) })
	set.GetOrCreateGauge("member_doubt", func() float64 { return boolToFloat(s.View().Unconfirmed) })
	set.GetOrCreateGauge("member_cut_off", func() float64 { return boolToFloat(s.View().Isolated) })
	return counters{
		sent:          set.GetOrCreateCounter("member_datagrams_sent_total"),
		sentBytes:     set.GetOrCreateCounter("member_bytes_sent_total"),
		received:      set.GetOrCreateCounter("member_datagrams_received_total"),
		receivedBytes: set.GetOrCreateCounter("member_bytes_received_total"),
		dropped:       set.GetOrCreateCounter("member_datagrams_dropped_total"),
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
