// Command threadrun is the request router. It reads the deployment's file, which RELAY_CONFIG names, and the operator's
// file, reloads both on SIGHUP, and drains and exits on SIGTERM or SIGINT.
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

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "threadrun:", err)
		os.Exit(1)
	}
}

// command returns the command line interface.
func command() *cobra.Command {
	var operatorPath string
	c := &cobra.Command{
		Use:           "threadrun",
		Short:         "The request router. RELAY_CONFIG names the deployment's file.",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(*cobra.Command, []string) error { return run(operatorPath) },
	}
	c.Flags().StringVar(&operatorPath, "operator", os.Getenv("THREADRUN_OPERATOR"),
		"the operator's file, JSON with comments")
	return c
}

// run serves until the process receives SIGTERM or SIGINT, and returns when the router has shut down.
func run(operatorPath string) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// A separate channel of length 1 merges pending reloads, and keeps them from displacing SIGTERM.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)

	file, operatorFile, err := readFiles(operatorPath)
	if err != nil {
		return err
	}
	if err := limitRuntime(file); err != nil {
		return err
	}
	log := newLogger()
	server, err := service.Start(file, operatorFile, log)
	if err != nil {
		return err
	}
	stopReloads := reloadOn(reloads, server, operatorPath, log)
	signal := <-signals
	stopReloads()
	log.WithField("signal", signal).Info("shutting down")
	server.Shutdown()
	log.Info("shut down")
	return nil
}

// limitRuntime limits the Go runtime to the processors and memory in the deployment's file.
func limitRuntime(file *deployment.File) error {
	// The limit of the Go runtime is 3/5 of the memory. The rest is for the kernel's buffers and for garbage that is not
	// collected yet.
	const heapNumerator, heapDenominator = 3, 5
	limits, err := file.Limits()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(limits.Cores), 1))
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * heapNumerator / heapDenominator)
	return nil
}

func newLogger() *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: "15:04:05.000", FullTimestamp: true})
	return log
}

// reloadOn reloads the files at each signal until stop is called. stop waits until a running reload has ended.
func reloadOn(signals <-chan os.Signal, server *service.Server, operatorPath string, log *logrus.Logger) (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stopping:
				return
			case <-signals:
				if err := reload(server, operatorPath); err != nil {
					log.WithError(err).Error("reload failed, configuration unchanged")
				}
			}
		}
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

// reload reads both files again and applies all changes, or none if it returns an error.
func reload(server *service.Server, operatorPath string) error {
	file, operatorFile, err := readFiles(operatorPath)
	if err != nil {
		return err
	}
	return server.Reload(file, operatorFile)
}

// readFiles reads the deployment's file and the operator's file.
func readFiles(operatorPath string) (*deployment.File, *operator.File, error) {
	file, err := deployment.Open(os.Getenv("RELAY_CONFIG"), os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	operatorFile, err := operator.Open(operatorPath)
	return file, operatorFile, err
}
