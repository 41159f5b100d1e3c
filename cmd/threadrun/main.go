// Command threadrun is the visit router on sockets: it reads its configuration, starts, takes up a
// new one on SIGHUP, and ends on SIGTERM.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"threadrun/internal/deployment"
	"threadrun/internal/operator"
	"threadrun/internal/service"
)

// operatorsFile is the path of the operator's file; empty: there is none.
var operatorsFile string

func main() {
	c := &cobra.Command{Use: "threadrun", Short: "The visit router. RELAY_CONFIG names the deployment's file.", Args: cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true, RunE: func(*cobra.Command, []string) error { return run() }}
	c.Flags().StringVar(&operatorsFile, "operator", os.Getenv("THREADRUN_OPERATOR"), "the operator's file, JSON with comments")
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "threadrun:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// A channel of its own: words to reload that come in a row are as good as one, and may not crowd out the word to end.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	file, spec, err := read()
	if err != nil {
		return err
	}
	cores, memoryMB, _, err := file.Limits()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(cores), 1))
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 3 / 5) // the rest is for the kernel's part and for late collection
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: "15:04:05.000", FullTimestamp: true})
	router, err := service.Start(file, spec, log)
	if err != nil {
		return err
	}
	go func() {
		for range reloads {
			if err := reload(router); err != nil {
				log.WithError(err).Error("reload: the file can't be used, all stays as it was")
			}
		}
	}()
	log.WithField("signal", <-signals).Info("leaving: serving on until all is answered")
	router.Shutdown()
	log.Info("left: all is answered")
	return nil
}

// reload takes up what the files say now, whole or not at all.
func reload(router *service.Server) error {
	file, spec, err := read()
	if err != nil {
		return err
	}
	return router.Reload(file, spec)
}

// read reads the deployment's file and the operator's.
func read() (*deployment.File, *operator.File, error) {
	file, err := deployment.Open(os.Getenv("RELAY_CONFIG"), os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	spec, err := operator.Open(operatorsFile)
	return file, spec, err
}
