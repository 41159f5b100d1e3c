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

// TestMain runs the test executable as a router if THREADRUN_TEST_RUN is set.
func TestMain(m *testing.M) {
	if os.Getenv("THREADRUN_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// routerCommand returns the command that runs a router with a deployment file. It is not started yet.
func routerCommand(config string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "THREADRUN_TEST_RUN=1", "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_CONFIG="+config)
	return c
}

// A router must serve after SIGKILL and a restart at the same address. After SIGTERM it must answer the open request
// and exit with status 0.
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
	placeholder, err := testserver.StartCache("free", "127.0.0.1:0", nil) // reserves a free port for the router
	if err != nil {
		t.Fatal(err)
	}
	address := placeholder.Address()
	placeholder.Close(false)
	path, err := testserver.WriteConfig(t.TempDir(), testserver.Configuration(address, discovery))
	if err != nil {
		t.Fatal(err)
	}
	for _, signal := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		router := routerCommand(path)
		if err := router.Start(); err != nil {
			t.Fatal(err)
		}
		var client *testserver.Client
		for i := 0; client == nil; i++ {
			if client, err = testserver.Connect(address); err != nil && i > 2000 {
				_ = router.Process.Kill()
				t.Fatal(err)
			}
			time.Sleep(5 * time.Millisecond)
		}
		_, first := client.Send("page", testserver.RequestParams(1, "00000000000000aa", 2*time.Second), nil)
		a := <-first
		// Repeated SIGHUP while the deployment file is missing, and SIGHUP while draining, must not stop the router.
		if err := os.Rename(path, path+".away"); err != nil {
			t.Fatal(err)
		}
		for i := 0; i < 3; i++ {
			_ = router.Process.Signal(syscall.SIGHUP)
			time.Sleep(5 * time.Millisecond)
		}
		if err := os.Rename(path+".away", path); err != nil {
			t.Fatal(err)
		}
		_, second := client.Send("page", testserver.RequestParams(2, "00000000000000bb", 2*time.Second), nil)
		_ = router.Process.Signal(signal)
		_ = router.Process.Signal(syscall.SIGHUP)
		if string(a.Body) != "here" {
			t.Errorf("answer before %v: %+v", signal, a)
		}
		if signal == syscall.SIGTERM {
			select {
			case a := <-second:
				if string(a.Body) != "here" {
					t.Errorf("answer while draining: %+v", a)
				}
			case <-client.Closed():
				t.Error("the connection ended without an answer to the open request")
			}
		}
		if err := router.Wait(); (err == nil) != (signal == syscall.SIGTERM) {
			t.Errorf("exit after %v: %v", signal, err)
		}
		client.Close()
	}
}

// With an invalid deployment file, the router must print one line that names the missing key, and exit with a status
// other than 0.
func TestBadConfiguration(t *testing.T) {
	const noSeed = `{"listen":"127.0.0.1:0","bulletin":"127.0.0.1:1","known":{},"settings":{}}`
	path, err := testserver.WriteConfig(t.TempDir(), noSeed)
	if err != nil {
		t.Fatal(err)
	}
	out, err := routerCommand(path).CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "'seed'") {
		t.Errorf("exit: %v, output: %q; want one line that names the key 'seed'", err, out)
	}
}
