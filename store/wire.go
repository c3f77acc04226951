package store

import (
	"bergamotworks/ports"
)

// Paths of the JSON gateway of etcd v3.
const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"
)

// wireHeader is the response header with the revision of the store.
type wireHeader struct {
	Revision int64 `json:"revision,omitempty,string"`
}

type wireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
}

type wireKeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,omitempty,string"`
}

type wireRangeResponse struct {
	Header wireHeader     `json:"header"`
	Kvs    []wireKeyValue `json:"kvs,omitempty"`
}

// wireCompare compares the revision or the value of a key, as Target says.
type wireCompare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
	Value       []byte `json:"value,omitempty"`
}

// The targets of comparisons.
const (
	compareRevision = "MOD"
	compareValue    = "VALUE"
)

type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

type wireDelete struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// wireOp is a put or a delete; the other field is nil.
type wireOp struct {
	Put    *wirePut    `json:"request_put,omitempty"`
	Delete *wireDelete `json:"request_delete_range,omitempty"`
}

type wireTxn struct {
	Compare []wireCompare `json:"compare,omitempty"`
	Success []wireOp      `json:"success,omitempty"`
}

type wireTxnResponse struct {
	Header    wireHeader `json:"header"`
	Succeeded bool       `json:"succeeded,omitempty"`
}

// wireGrant is the request for a lease. TTL is in seconds.
type wireGrant struct {
	TTL int64 `json:"TTL,string"`
}

type wireLease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

// wireKeepAlive is one response of the keep-alive stream. The TTL of an expired
// lease is zero.
type wireKeepAlive struct {
	Result wireLease `json:"result"`
}

type wireWatch struct {
	Create wireWatchCreate `json:"create_request"`
}

type wireWatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

type wireWatchMessage struct {
	Result wireWatchResult `json:"result"`
	Error  *wireError      `json:"error,omitempty"`
}

type wireWatchResult struct {
	Header   wireHeader  `json:"header"`
	Created  bool        `json:"created,omitempty"`
	Canceled bool        `json:"canceled,omitempty"`
	Reason   string      `json:"cancel_reason,omitempty"`
	Events   []wireEvent `json:"events,omitempty"`
}

// wireEvent is a change of a key. Type is empty for a put.
type wireEvent struct {
	Type string       `json:"type,omitempty"`
	Kv   wireKeyValue `json:"kv"`
}

// wireError is the body of an error response. Code is a gRPC status code.
type wireError struct {
	Error   string `json:"error,omitempty"`
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

func toWireEntry(entry ports.KeyValue) wireKeyValue {
	return wireKeyValue{
		Key:            []byte(entry.Key),
		CreateRevision: entry.CreateRevision,
		ModRevision:    entry.ModRevision,
		Version:        entry.Version,
		Value:          entry.Value,
		Lease:          int64(entry.Lease),
	}
}

func (w wireKeyValue) entry() ports.KeyValue {
	return ports.KeyValue{
		Key:            string(w.Key),
		Value:          w.Value,
		CreateRevision: w.CreateRevision,
		ModRevision:    w.ModRevision,
		Version:        w.Version,
		Lease:          ports.LeaseID(w.Lease),
	}
}

func toWireTxn(txn ports.Txn) wireTxn {
	var w wireTxn
	for _, c := range txn.Compares {
		w.Compare = append(w.Compare, wireCompare{
			Result:      "EQUAL",
			Target:      compareRevision,
			Key:         []byte(c.Key),
			ModRevision: c.ModRevision,
		})
		if c.Value != nil {
			w.Compare = append(w.Compare, wireCompare{Result: "EQUAL", Target: compareValue, Key: []byte(c.Key), Value: c.Value})
		}
	}
	for _, o := range txn.Then {
		switch o := o.(type) {
		case ports.Put:
			put := wirePut{Key: []byte(o.Key), Value: o.Value, Lease: int64(o.Lease)}
			w.Success = append(w.Success, wireOp{Put: &put})
		case ports.Delete:
			remove := wireDelete{Key: []byte(o.Key), RangeEnd: rangeEnd(o.Key, o.Prefix)}
			w.Success = append(w.Success, wireOp{Delete: &remove})
		}
	}
	return w
}

func (w wireTxn) txn() ports.Txn {
	var txn ports.Txn
	for _, c := range w.Compare {
		if last := len(txn.Compares) - 1; c.Target == compareValue && last >= 0 && txn.Compares[last].Key == string(c.Key) {
			txn.Compares[last].Value = c.Value // It follows the comparison of the revision.
			continue
		}
		txn.Compares = append(txn.Compares, ports.Compare{Key: string(c.Key), ModRevision: c.ModRevision})
	}
	for _, o := range w.Success {
		if o.Put != nil {
			txn.Then = append(txn.Then, ports.Put{
				Key:   string(o.Put.Key),
				Value: o.Put.Value,
				Lease: ports.LeaseID(o.Put.Lease),
			})
		}
		if o.Delete != nil {
			txn.Then = append(txn.Then, ports.Delete{
				Key:    string(o.Delete.Key),
				Prefix: len(o.Delete.RangeEnd) > 0,
			})
		}
	}
	return txn
}

// rangeEnd returns the first key after all keys with the prefix, or nil for a
// single key. If there is no such key it returns "\x00", which means the end of
// the key space.
func rangeEnd(key string, prefix bool) []byte {
	if !prefix {
		return nil
	}
	end := []byte(key)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
