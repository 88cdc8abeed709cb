package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	standinservice "github.com/briarturn/briarturn/internal/standin/service"
	platformstandin "github.com/briarturn/briarturn/platform/standin"
)

// standinHeaderTimeout limits how long a stand-in waits for request headers.
const standinHeaderTimeout = 10 * time.Second

type standinCommand struct {
	Platform *listenCommand  `arg:"subcommand:platform" help:"the object API"`
	Engine   *engineCommand  `arg:"subcommand:engine" help:"a model engine"`
	Service  *listenCommand  `arg:"subcommand:service" help:"a plain service"`
	Backend  *backendCommand `arg:"subcommand:backend" help:"a backend server of the users' platform that prints each request it receives"`
}

type backendCommand struct {
	Listen   string `arg:"--listen,required" placeholder:"IP:PORT"`
	Instance string `arg:"--instance,required" placeholder:"NAME"`
}

type listenCommand struct {
	Listen string `arg:"--listen,required" placeholder:"IP:PORT"`
}

type engineCommand struct {
	Listen        string   `arg:"--listen,required" placeholder:"IP:PORT"`
	Models        []string `arg:"--model,separate" help:"name of a served model; repeatable"`
	PrefillRate   float64  `arg:"--prefill-rate" help:"tokens/s"`
	MemoryTokens  int      `arg:"--memory-tokens"`
	KillMarker    string   `arg:"--kill-marker" help:"text that kills the engine if a prompt contains it"`
	ChecksFencing bool     `arg:"--checks-fencing"`
}

// run serves one stand-in until ctx ends.
func (c *standinCommand) run(ctx context.Context, e env) error {
	address, stop, err := c.start(e.out)
	if err != nil {
		return errors.Annotate(err, "step start stand-in")
	}
	fmt.Fprintln(e.out, "listening on", address)
	<-ctx.Done()
	stop()
	return nil
}

func (c *standinCommand) start(out io.Writer) (address string, stop func(), err error) {
	switch {
	case c.Platform != nil:
		return startPlatform(c.Platform.Listen)
	case c.Engine != nil:
		s, address, err := standinengine.StartOn(c.Engine.config(), c.Engine.Listen)
		if err != nil {
			return "", nil, err
		}
		return address, s.Close, nil
	case c.Service != nil:
		s, address, err := standinservice.StartOn(c.Service.Listen)
		if err != nil {
			return "", nil, err
		}
		return address, s.Close, nil
	}
	if c.Backend != nil {
		backend := platformstandin.NewBackend(c.Backend.Instance, out)
		backend.SetColdOverloadHandler(func() { os.Exit(ExitFailed) })
		backend.SetPartCrashHandler(func() { os.Exit(ExitFailed) })
		return startHTTPServer(c.Backend.Listen, backend)
	}
	return "", nil, errors.WithType(errors.New("missing kind of stand-in: platform, engine, service or backend"), errUsage)
}

func (c *engineCommand) config() standinengine.Config {
	return standinengine.Config{
		Models:        c.Models,
		PrefillRate:   c.PrefillRate,
		MemoryTokens:  c.MemoryTokens,
		KillMarker:    c.KillMarker,
		ChecksFencing: c.ChecksFencing,
	}
}

func startPlatform(listen string) (string, func(), error) {
	return startHTTPServer(listen, platformstandin.Handler(standinobjectapi.NewMemory(standinobjectapi.Config{})))
}

func startHTTPServer(listen string, h http.Handler) (string, func(), error) {
	lis, err := net.Listen("tcp", listen)
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: standinHeaderTimeout}
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), func() { _ = srv.Close() }, nil
}
