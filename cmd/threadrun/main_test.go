package main

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// TestMain lets the test executable run as the router.
func TestMain(m *testing.M) {
	if os.Getenv("THREADRUN_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func startCommand(config string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "THREADRUN_TEST_RUN=1", "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_CONFIG="+config)
	return c
}

// After SIGKILL and a restart at the same address the router serves. After SIGTERM it answers and exits with 0.
func TestRestarts(t *testing.T) {
	discovery, err := testserver.StartDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cache, err := testserver.StartCache("edge", "127.0.0.1:0", func(c *testserver.Cache) {
		c.Answer = func(*testserver.CacheRequest) *testserver.Reply {
			time.Sleep(100 * time.Millisecond)
			return &testserver.Reply{Status: "data", Body: []byte("here")}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	discovery.AnnounceEndpoints(true, testserver.EndpointJSON("edge", cache.Address(), "branch", "cache", "up", 0))
	free, err := testserver.StartCache("free", "127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	address := free.Address()
	free.Close(false)
	path, err := testserver.WriteConfig(t.TempDir(), testserver.Configuration(address, discovery))
	if err != nil {
		t.Fatal(err)
	}
	for _, signal := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		c := startCommand(path)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		var client *testserver.Client
		for i := 0; client == nil; i++ {
			if client, err = testserver.Connect(address); err != nil && i > 2000 {
				_ = c.Process.Kill()
				t.Fatal(err)
			}
			time.Sleep(5 * time.Millisecond)
		}
		_, first := client.Send("page", testserver.RequestParams(1, "00000000000000aa", 2*time.Second), nil)
		a := <-first
		// Repeated SIGHUP without a file, also while draining, must not stop the router.
		if err := os.Rename(path, path+".away"); err != nil {
			t.Fatal(err)
		}
		for i := 0; i < 3; i++ {
			_ = c.Process.Signal(syscall.SIGHUP)
			time.Sleep(5 * time.Millisecond)
		}
		if err := os.Rename(path+".away", path); err != nil {
			t.Fatal(err)
		}
		_, second := client.Send("page", testserver.RequestParams(2, "00000000000000bb", 2*time.Second), nil)
		_ = c.Process.Signal(signal)
		_ = c.Process.Signal(syscall.SIGHUP)
		if string(a.Body) != "here" {
			t.Errorf("%+v", a)
		}
		if signal == syscall.SIGTERM {
			select {
			case a := <-second:
				if string(a.Body) != "here" {
					t.Errorf("while draining: %+v", a)
				}
			case <-client.Closed():
				t.Error("ended with no answer")
			}
		}
		if err := c.Wait(); (err == nil) != (signal == syscall.SIGTERM) {
			t.Errorf("after %v: %v", signal, err)
		}
		client.Close()
	}
}

// An invalid configuration prints one line, and the exit status is not 0.
func TestBadConfiguration(t *testing.T) {
	const noSeed = `{"listen":"127.0.0.1:0","bulletin":"127.0.0.1:1","known":{},"settings":{}}`
	path, err := testserver.WriteConfig(t.TempDir(), noSeed)
	if err != nil {
		t.Fatal(err)
	}
	out, err := startCommand(path).CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "'seed'") {
		t.Errorf("%v: %q", err, out)
	}
}
