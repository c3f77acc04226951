package member

import (
	"context"
	"net"
	"net/netip"
)

func (s *Service) send(a Send) {
	address, err := netip.ParseAddrPort(a.To)
	if err != nil {
		s.Log.WithError(err).WithField("address", a.To).Debug("invalid gossip address")
		return
	}
	s.counters.sentBytes.Add(len(a.Payload))
	s.counters.sent.Inc()
	if _, err := s.conn.WriteTo(a.Payload, net.UDPAddrFromAddrPort(address)); err != nil {
		s.Log.WithError(err).WithField("address", a.To).Debug("failed to send a datagram")
	}
}

func (s *Service) loopReceive() error {
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if isClosed(err) {
			return nil
		}
		if err != nil {
			s.Log.WithError(err).Debug("failed to receive a datagram")
			continue
		}
		s.counters.receivedBytes.Add(n)
		s.counters.received.Inc()
		s.enqueue(DatagramReceived{From: from.String(), Payload: append([]byte(nil), buffer[:n]...)})
	}
}

func (s *Service) loopSeeds(ctx context.Context) error {
	for s.Seeds != nil {
		addresses, err := s.Seeds.Addresses(ctx)
		if err == nil {
			s.enqueue(SeedsUpdated{Addresses: addresses})
		} else {
			s.Log.WithError(err).Warn("failed to read the list of gossip addresses")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(seedInterval):
		}
	}
	return nil
}
