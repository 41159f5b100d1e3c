// Command threadrun is the visit router on sockets: it reads its configuration, starts, and ends on a signal.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/bulletin"
	"threadrun/internal/deployment"
	"threadrun/internal/front"
	"threadrun/internal/service"
	"threadrun/internal/sockets"
	"threadrun/internal/trips"
)

// serveOn is how long clients may go on coming after the word to end.
const serveOn = 800 * time.Millisecond

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "threadrun:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	file, err := deployment.Open(os.Getenv("RELAY_CONFIG"), os.Getenv)
	if err != nil {
		return err
	}
	cores, memoryMB, descriptors, err := file.Limits()
	if err != nil {
		return err
	}
	clients, caches, each, backlog, err := file.Pools()
	if err != nil {
		return err
	}
	wait, slack, err := file.Polls()
	if err != nil {
		return err
	}
	connect, idle, streams, err := deployment.Connections(file.Site)
	if err != nil {
		return file.Fault(err)
	}
	runtime.GOMAXPROCS(max(int(cores), 1))
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 3 / 5)
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: "15:04:05.000", FullTimestamp: true})

	engine, err := sockets.New(log, descriptors)
	if err != nil {
		return err
	}
	desk := service.New(engine, log)
	router, names, err := deployment.Site(file.Site, file.Seed, desk)
	if err != nil {
		return file.Fault(err)
	}
	span := func(t int64) time.Duration { return time.Duration(t) * time.Microsecond }
	yard := trips.New(engine, log, desk, caches, each, streams, span(int64(connect)), span(int64(idle)*4/5),
		time.Second)
	poll := bulletin.New(engine, log, desk, file.Board, wait, slack)
	rpc := front.NewRPC(engine, log, desk, backlog)
	desk.Attach(router, names, yard, poll)
	engine.Do(func() { err = poll.Known(file.Known) })
	if err != nil {
		return file.Fault(fmt.Errorf("key 'known': %w", err))
	}
	if err := engine.Listen(file.Listen, clients, rpc.Accept); err != nil {
		return fmt.Errorf("listening on %s: %w", file.Listen, err)
	}
	engine.Do(desk.SetReady)
	done := make(chan struct{})
	go desk.Run(done)
	log.WithFields(logrus.Fields{"name": file.Name, "listen": file.Listen}).Info("serving")

	sig := <-signals
	log.WithField("signal", sig).Info("leaving: serving on until all is answered")
	engine.Do(desk.SetLeaving)
	for until := time.Now().Add(serveOn); ; time.Sleep(5 * time.Millisecond) {
		quiet := false
		engine.Do(func() { quiet = rpc.Quiet() })
		if quiet && time.Now().After(until) {
			break
		}
	}
	close(done)
	log.Info("left: all is answered")
	return nil
}
