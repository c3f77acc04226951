package conf

import (
	"context"
	"encoding/json"
	"maps"

	"bergamotworks/fault"
	"bergamotworks/wire"
)

// Names of the methods that a node registers for its peers.
const (
	MethodFetch    = "conf.fetch"
	MethodAnnounce = "conf.announce"
)

// FetchRequest asks for a configuration newer than Revision. Checksum, if set,
// identifies the requester's configuration at that revision, so that the
// response need only contain the differences.
type FetchRequest struct {
	Revision int64  `json:"revision"`
	Checksum string `json:"checksum,omitempty"`
	// AcceptCompressed means that the response may have CompressedParts. VMs of
	// earlier versions do not understand them.
	AcceptCompressed bool `json:"accept_compressed,omitempty"`
}

// FetchResponse holds the parts that differ from the configuration of the
// request, or all parts if Full is set. Removed names the parts that no longer
// exist. If there is no newer configuration, only Revision is set.
type FetchResponse struct {
	Revision int64                      `json:"revision"`
	NoteID   string                     `json:"note_id,omitempty"`
	Checksum string                     `json:"checksum,omitempty"`
	Full     bool                       `json:"full,omitempty"`
	Parts    map[string]json.RawMessage `json:"sections,omitempty"`
	// CompressedParts holds Parts as made by wire.Compress, if the request accepts
	// that.
	CompressedParts []byte   `json:"compressed_sections,omitempty"`
	Removed         []string `json:"removed,omitempty"`
}

// RevisionAnnouncement reports the revision that is active on a VM.
type RevisionAnnouncement struct {
	VM       string `json:"vm"`
	Revision int64  `json:"revision"`
}

// HandleFetch serves MethodFetch: it returns the active configuration if that
// is newer than the revision in the request.
func (s *Service) HandleFetch(_ context.Context, request FetchRequest) (FetchResponse, error) {
	i := s.current.Load()
	response := FetchResponse{Revision: i.revision()}
	if i.revision() <= request.Revision {
		return response, nil
	}
	response.NoteID = i.config.NoteID
	response.Checksum = i.checksum
	response.Parts = map[string]json.RawMessage{}
	base := s.recentImage(request.Revision)
	if base == nil || base.checksum != request.Checksum {
		response.Full = true
		base = &image{}
	}
	for name, p := range i.parts {
		if base.parts[name].hash != p.hash {
			response.Parts[name] = p.content
		}
	}
	for name := range base.parts {
		if _, ok := i.parts[name]; !ok {
			response.Removed = append(response.Removed, name)
		}
	}
	if !request.AcceptCompressed {
		return response, nil
	}
	return response.compressed()
}

// compressed returns the response with its parts compressed, so that a large
// configuration passes a slow network link within peerCallTimeout.
func (r FetchResponse) compressed() (FetchResponse, error) {
	data, err := wire.Compress(r.Parts)
	if err != nil {
		return FetchResponse{}, fault.New(fault.Internal, fault.NotRun, "encode revision %d: %s", r.Revision, err)
	}
	r.Parts, r.CompressedParts = nil, data
	return r, nil
}

// HandleAnnounce serves MethodAnnounce: it records the revision that a peer
// announces.
func (s *Service) HandleAnnounce(_ context.Context, params RevisionAnnouncement) (struct{}, error) {
	s.ObserveRevision(params.VM, params.Revision)
	return struct{}{}, nil
}

// fetchTask fetches the configuration of one peer.
type fetchTask struct {
	service *Service
	ctx     context.Context
	vm      string
}

func (t fetchTask) run() {
	s := t.service
	ctx, cancel := context.WithTimeout(t.ctx, peerCallTimeout)
	defer cancel()
	revision, err := s.fetch(ctx, t.vm)
	if err != nil {
		s.count("conf_fetch_errors_total")
		s.Log.WithError(err).WithField("vm", t.vm).Debug("failed to fetch the configuration from a peer")
	}
	s.post(fetched{vm: t.vm, revision: revision, err: err})
}

// fetch requests the configuration of a peer and activates it if it is newer.
// It returns the peer's revision.
func (s *Service) fetch(ctx context.Context, vm string) (int64, error) {
	base := s.current.Load()
	request := FetchRequest{Revision: base.revision(), AcceptCompressed: true}
	if base != nil {
		request.Checksum = base.checksum
	}
	var response FetchResponse
	if err := s.Peers.Call(ctx, vm, MethodFetch, request, &response); err != nil {
		return 0, err
	}
	if response.Revision <= base.revision() {
		return response.Revision, nil
	}
	i, err := response.apply(base)
	if err != nil {
		return 0, err
	}
	s.activate(i, "peer")
	return response.Revision, nil
}

func (r FetchResponse) apply(base *image) (*image, error) {
	parts := map[string]part{}
	if !r.Full && base != nil {
		parts = maps.Clone(base.parts)
	}
	for _, name := range r.Removed {
		delete(parts, name)
	}
	if r.CompressedParts != nil {
		if err := wire.Decompress(r.CompressedParts, &r.Parts); err != nil {
			return nil, fault.New(fault.Internal, fault.NotRun, "revision %d: %s", r.Revision, err)
		}
	}
	for name, content := range r.Parts {
		p, err := newPart(name, content)
		if err != nil {
			return nil, err
		}
		parts[name] = p
	}
	i := assemble(r.Revision, r.NoteID, parts)
	if i.checksum != r.Checksum {
		return nil, fault.New(fault.Internal, fault.NotRun, "revision %d has checksum %s instead of %s",
			r.Revision, i.checksum, r.Checksum)
	}
	return i, nil
}
