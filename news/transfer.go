package news

import (
	"context"
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// MethodFetchConfig and MethodFetchDirectory are the methods by which a node
// fetches the configuration and the directory of another.
const (
	MethodFetchConfig    = "news.config"
	MethodFetchDirectory = "news.directory"
)

// transferTimeout bounds the transfer of a configuration or directory, which may
// take much longer than other calls on a slow network link.
const transferTimeout = 1 * time.Second

// configRequest asks for a configuration newer than a revision.
type configRequest struct {
	Revision int64 `json:"revision"`
}

// configReply is a configuration.
type configReply struct {
	Revision int64  `json:"revision"`
	Data     []byte `json:"data"` // The configuration, made by wire.Compress.
}

// encodedCache holds the newest value in the form in which it is sent, as many
// nodes fetch it at the same time.
type encodedCache struct {
	mutex    sync.Mutex
	position site.Position
	data     []byte
}

// get returns the value of a position as made by wire.Compress.
func (c *encodedCache) get(position site.Position, value any) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.data != nil && c.position == position {
		return c.data, nil
	}
	data, err := wire.Compress(value)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "encode revision %d: %s", position.Revision, err)
	}
	c.position, c.data = position, data
	return data, nil
}

// HandleFetchConfig returns the configuration of this node. It returns a NotFound
// error if that is not newer than the revision in the request.
func (s *Service) HandleFetchConfig(_ context.Context, request configRequest) (configReply, error) {
	config := s.Config()
	if !config.Loaded() || config.Revision <= request.Revision {
		return configReply{}, fault.New(fault.NotFound, fault.NotRun, "no configuration after revision %d", request.Revision)
	}
	data, err := s.encodedConfig.get(site.Position{Revision: config.Revision}, config)
	return configReply{Revision: config.Revision, Data: data}, err
}

// fetchConfig fetches and activates the configuration of another node unless it is
// older than that of this node by then.
func (s *Service) fetchConfig(ctx context.Context, vm string) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var reply configReply
	if err := s.Peers.Call(ctx, vm, MethodFetchConfig, configRequest{Revision: s.Config().Revision}, &reply); err != nil {
		return err
	}
	if reply.Revision <= s.Config().Revision {
		return nil
	}
	var config site.Config
	if err := wire.Decompress(reply.Data, &config); err != nil {
		return fault.New(fault.Internal, fault.NotRun, "configuration %d of %s: %s", reply.Revision, vm, err)
	}
	s.mutex.Lock()
	change := s.state.Apply(Snapshot{Config: site.NewConfig(config)})
	s.mutex.Unlock()
	s.logChange(change, vm)
	return nil
}

// directoryRequest asks for the directory.
type directoryRequest struct{}

// directoryReply is a directory.
type directoryReply struct {
	Now  time.Time `json:"now"`  // By the sender's clock.
	Data []byte    `json:"data"` // The directory, made by wire.Compress.
}

// HandleFetchDirectory returns the directory as this node has it. It returns a
// NotFound error if there is none.
func (s *Service) HandleFetchDirectory(_ context.Context, _ directoryRequest) (directoryReply, error) {
	s.mutex.Lock()
	d := s.state.registered
	s.mutex.Unlock()
	if !d.Loaded() {
		return directoryReply{}, fault.New(fault.NotFound, fault.NotRun, "no directory")
	}
	data, err := s.encodedDirectory.get(d.Position, d)
	return directoryReply{Now: s.Clock.Now(), Data: data}, err
}

// fetchDirectory fetches and applies the directory of another node, which has read it
// from the store at readAt or later and whose grace period lasts for the given time.
func (s *Service) fetchDirectory(ctx context.Context, vm string, readAt time.Time, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var reply directoryReply
	if err := s.Peers.Call(ctx, vm, MethodFetchDirectory, directoryRequest{}, &reply); err != nil {
		return err
	}
	var d site.Directory
	if err := wire.Decompress(reply.Data, &d); err != nil {
		return fault.New(fault.Internal, fault.NotRun, "directory of %s: %s", vm, err)
	}
	s.apply(vm, update{Directory: &d, Now: reply.Now, GraceRemaining: grace}, readAt)
	return nil
}
