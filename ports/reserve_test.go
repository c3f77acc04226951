package ports_test

import (
	"net"
	"testing"

	"bergamotworks/ports"
)

func TestReserveBoth(t *testing.T) {
	r := &ports.ReservedNetwork{}
	address, err := r.ReserveStreamAndPacket()
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.ListenPacket("udp", address); err == nil {
		_ = c.Close() // The test has failed already.
		t.Errorf("UDP address %s is not reserved", address)
	}
	if l, err := net.Listen("tcp", address); err == nil {
		_ = l.Close() // The test has failed already.
		t.Errorf("TCP address %s is not reserved", address)
	}
	listener, err := r.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := r.ListenPacket(address)
	if err != nil {
		t.Fatal(err)
	}
	if got := []string{listener.Addr().String(), conn.LocalAddr().String()}; got[0] != address || got[1] != address {
		t.Errorf("got sockets on %v, reserved %s", got, address)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	again, err := r.Listen(address)
	if err != nil {
		t.Fatalf("listen again on the released address: %v", err)
	}
	if err := again.Close(); err != nil {
		t.Error(err)
	}
	if err := r.Close(); err != nil {
		t.Error(err)
	}
}
