// Package cloud runs the stand-ins of the table service and the object store together with their control endpoint.
//
// Usage:
//
//	platform, err := cloud.Start(cloud.Config{})
//	if err != nil {
//		return err
//	}
//	defer platform.Close()
//	settings.Platform = platform.Settings()
package cloud

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/fakes/fault"
	"github.com/auburnwinch/auburnwinch/internal/fakes/object"
	"github.com/auburnwinch/auburnwinch/internal/fakes/table"
)

// Defaults of Config.
const (
	DefaultName        = "auburnwinch"
	DefaultAccessKeyID = "standin"
	// DefaultAddress selects any free loopback port.
	DefaultAddress = "127.0.0.1:0"
)

// readHeaderTimeout limits how long a connection may stay open without sending a request.
const readHeaderTimeout = 10 * time.Second

// Config holds addresses and names; empty fields are set to their defaults.
type Config struct {
	TableAddress   string
	ObjectAddress  string
	ControlAddress string
	Table          string
	Bucket         string
	AccessKeyID    string
}

// Platform holds the running stand-ins.
type Platform struct {
	Faults  *fault.Faults
	Table   *table.Table
	Objects *object.Bucket

	config  Config
	servers []*server
	tasks   conc.WaitGroup
}

type server struct {
	http     *http.Server
	listener net.Listener
}

// Start listens on all three addresses and serves until Close.
func Start(c Config) (*Platform, error) {
	c.setDefaults()
	p := &Platform{
		Faults:  fault.New(),
		Table:   table.New(table.Config{Table: c.Table, AccessKeyID: c.AccessKeyID}),
		Objects: object.New(object.Config{Bucket: c.Bucket, AccessKeyID: c.AccessKeyID}),
		config:  c,
	}
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{c.TableAddress, p.Faults.Wrap("table", table.Operation, p.Table)},
		{c.ObjectAddress, p.Faults.Wrap("objects", object.Operation, p.Objects)},
		{c.ControlAddress, p.Faults.Control()},
	} {
		if err := p.listen(s.address, s.handler); err != nil {
			return nil, errors.Join(err, p.Close())
		}
	}
	for _, s := range p.servers {
		p.tasks.Go(s.serve)
	}
	return p, nil
}

// Settings returns the platform settings that a node needs to use the stand-ins.
func (p *Platform) Settings() config.Platform {
	return config.Platform{
		TableEndpoint:   "http://" + p.servers[0].listener.Addr().String(),
		ObjectEndpoint:  "http://" + p.servers[1].listener.Addr().String(),
		Region:          config.DefaultPlatformRegion,
		AccessKeyID:     p.config.AccessKeyID,
		SecretAccessKey: "standin-secret",
		Table:           p.config.Table,
		Bucket:          p.config.Bucket,
	}
}

// ControlEndpoint returns the URL of the control endpoint.
func (p *Platform) ControlEndpoint() string {
	return "http://" + p.servers[2].listener.Addr().String()
}

// Close stops all servers and waits for them.
func (p *Platform) Close() error {
	var errs []error
	for _, s := range p.servers {
		errs = append(errs, s.http.Close())
	}
	p.tasks.Wait()
	return errors.Join(errs...)
}

func (p *Platform) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s; remedy: choose a free address", address)
	}
	p.servers = append(p.servers, &server{
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		listener: listener,
	})
	return nil
}

// serve ignores the error of Serve, which returns only after the server was closed, unless the listener fails.
func (s *server) serve() {
	_ = s.http.Serve(s.listener)
}

func (c *Config) setDefaults() {
	for _, field := range []struct {
		value    *string
		fallback string
	}{
		{&c.TableAddress, DefaultAddress},
		{&c.ObjectAddress, DefaultAddress},
		{&c.ControlAddress, DefaultAddress},
		{&c.Table, DefaultName},
		{&c.Bucket, DefaultName},
		{&c.AccessKeyID, DefaultAccessKeyID},
	} {
		if *field.value == "" {
			*field.value = field.fallback
		}
	}
}
