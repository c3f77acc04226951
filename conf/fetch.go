package conf

import (
	"context"
	"encoding/json"
	"maps"

	"bergamotworks/fault"
)

// The methods that a node registers for its peers.
const (
	MethodFetch    = "conf.fetch"
	MethodAnnounce = "conf.announce"
)

// FetchRequest asks for a configuration newer than the one that is named.
type FetchRequest struct {
	Revision int64  `json:"revision"`
	Checksum string `json:"checksum,omitempty"`
}

// FetchResponse holds what differs from the configuration of the request, or
// all sections if Full. Without a newer configuration it holds the revision
// alone.
type FetchResponse struct {
	Revision int64                      `json:"revision"`
	NoteID   string                     `json:"note_id,omitempty"`
	Checksum string                     `json:"checksum,omitempty"`
	Full     bool                       `json:"full,omitempty"`
	Sections map[string]json.RawMessage `json:"sections,omitempty"`
	Removed  []string                   `json:"removed,omitempty"`
}

// Announcement tells the revision in force on a VM.
type Announcement struct {
	VM       string `json:"vm"`
	Revision int64  `json:"revision"`
}

// HandleFetch answers a peer that may be behind.
func (s *Service) HandleFetch(_ context.Context, request FetchRequest) (FetchResponse, error) {
	i := s.current.Load()
	response := FetchResponse{Revision: i.revision()}
	if i.revision() <= request.Revision {
		return response, nil
	}
	response.NoteID = i.config.NoteID
	response.Checksum = i.checksum
	response.Sections = map[string]json.RawMessage{}
	base := s.past(request.Revision)
	if base == nil || base.checksum != request.Checksum {
		response.Full = true
		base = &image{}
	}
	for name, p := range i.parts {
		if base.parts[name].hash != p.hash {
			response.Sections[name] = p.content
		}
	}
	for name := range base.parts {
		if _, ok := i.parts[name]; !ok {
			response.Removed = append(response.Removed, name)
		}
	}
	return response, nil
}

// HandleAnnounce takes the news of a peer.
func (s *Service) HandleAnnounce(_ context.Context, news Announcement) (struct{}, error) {
	s.ObserveRevision(news.VM, news.Revision)
	return struct{}{}, nil
}

// fetchTask fetches from one peer.
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
		s.Log.WithError(err).WithField("vm", t.vm).Debug("configuration not fetched from peer")
	}
	s.post(fetched{vm: t.vm, revision: revision, err: err})
}

// fetch brings the configuration of a peer into force if it is newer.
func (s *Service) fetch(ctx context.Context, vm string) (int64, error) {
	base := s.current.Load()
	request := FetchRequest{Revision: base.revision()}
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
	s.install(i, "peer")
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
	for name, content := range r.Sections {
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
