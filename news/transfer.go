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

// configCache holds the newest configuration in the form in which it is sent, as
// many nodes fetch it at the same time.
type configCache struct {
	mutex sync.Mutex
	reply configReply
}

// get returns the reply for a configuration.
func (c *configCache) get(config site.Config) (configReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reply.Data != nil && c.reply.Revision == config.Revision {
		return c.reply, nil
	}
	data, err := wire.Compress(config)
	if err != nil {
		return configReply{}, err
	}
	c.reply = configReply{Revision: config.Revision, Data: data}
	return c.reply, nil
}

// HandleFetchConfig returns the configuration of this node. It returns a NotFound
// error if that is not newer than the revision in the request.
func (s *Service) HandleFetchConfig(_ context.Context, request configRequest) (configReply, error) {
	config := s.Config()
	if !config.Loaded() || config.Revision <= request.Revision {
		return configReply{}, fault.New(fault.NotFound, fault.NotRun, "no configuration after revision %d", request.Revision)
	}
	reply, err := s.encoded.get(config)
	if err != nil {
		return configReply{}, fault.New(fault.Internal, fault.NotRun, "encode configuration %d: %s", config.Revision, err)
	}
	return reply, nil
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
	change := s.state.ApplyPeer(s.Clock.Now(), Snapshot{Config: site.NewConfig(config)})
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
	data, err := wire.Compress(d)
	if err != nil {
		return directoryReply{}, fault.New(fault.Internal, fault.NotRun, "encode directory %d: %s", d.Revision, err)
	}
	return directoryReply{Now: s.Clock.Now(), Data: data}, nil
}

// fetchDirectory fetches and applies the directory of another node.
func (s *Service) fetchDirectory(ctx context.Context, vm string) error {
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
	s.apply(vm, update{Directory: &d, Now: reply.Now})
	return nil
}
