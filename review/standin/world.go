//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"apricotspool/imitator"
	"apricotspool/platform/platformtest"
)

// world is a small deployment on loopback.
type world struct {
	store     imitator.Store
	storeAddr netip.AddrPort
	storeHTTP *http.Server
	dir       string // temporary
	record    *os.File
	started   time.Time
	port      int
	zones     map[string]string // region by zone
	config    map[string]any
	version   int

	mu      sync.Mutex // guards the fields below and writes to record
	servers []*server
	daemons []*daemon
	ids     int
	lines   []string
}

func newWorld(folder string) (*world, error) {
	w := &world{started: time.Now(), port: 20_000 + os.Getpid()*97%9_000, zones: map[string]string{}}
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = netip.MustParseAddrPort(listener.Addr().String())
	w.storeHTTP = &http.Server{Handler: &platformtest.StoreHandler{Store: &w.store}}
	go w.storeHTTP.Serve(listener)
	return w, nil
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, s := range w.servers {
		s.crash()
	}
	w.storeHTTP.Close()
	os.RemoveAll(w.dir)
	w.record.Close()
}

// at returns the seconds since the start of the case.
func (w *world) at(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{w.at(time.Now())}, args...)...)
}

// newID returns an id for a request.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("%08x%08x", os.Getpid(), w.ids)
}

// freeAddress returns a loopback address that is free for TCP and UDP, below the ports of outgoing connections.
func (w *world) freeAddress() (string, error) {
	for range 9_000 {
		w.port++
		address := fmt.Sprintf("127.0.0.1:%d", 20_000+w.port%9_000)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		p, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		p.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port")
}

// put writes an object of the operator or of a server to the store.
func (w *world) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	old, err := w.store.Get(context.Background(), key)
	if err != nil {
		old.Version = 0
	}
	_, err = w.store.Put(context.Background(), key, text, old.Version)
	return err
}

// configure writes the next version of the configuration.
func (w *world) configure(config map[string]any) error {
	w.version += 3
	config["version"] = w.version
	w.note("operator: configuration %d", w.version)
	return w.put("config/main", config)
}

// daemon is a gateway process.
type daemon struct {
	w                         *world
	name, zone                string
	callers, health           string
	settings, log             string
	command                   *exec.Cmd
	exited                    chan struct{}
	mu                        sync.Mutex
	misses                    int
	inRotation, alive, frozen bool
}

// addDaemon prepares a gateway with the fields of the template platform/settings.json.
func (w *world) addDaemon(name, zone string) (*daemon, error) {
	d := &daemon{w: w, name: name, zone: zone, settings: filepath.Join(w.dir, name+".json"), log: filepath.Join(w.dir, name+".log")}
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = w.freeAddress(); err != nil {
			return nil, err
		}
	}
	d.callers, d.health = addresses[0], addresses[1]
	if w.zones[zone] == "" {
		w.zones[zone] = "region"
	}
	settings := map[string]any{
		"host": name, "data-centre": zone, "callers": addresses[0], "health": addresses[1], "peers": addresses[2], "datagrams": addresses[3],
		"object-api": w.storeAddr.String(), "drain": map[string]any{"limit": "8s"},
		"news":        map[string]any{"configuration": "2000ms", "endpoints": "2000ms"},
		"retries":     map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
		"command-gap": "3000ms", "memory-mb": 284, "descriptors": 4100,
	}
	w.daemons = append(w.daemons, d)
	d.write(settings)
	return d, nil
}

func (d *daemon) write(settings map[string]any) {
	text, _ := json.Marshal(settings) // can't fail
	os.WriteFile(d.settings, text, 0o600)
}

// startDaemons starts all gateways and waits until they are ready.
func (w *world) startDaemons() error {
	var seeds []string
	settings := make([]map[string]any, len(w.daemons))
	for i, d := range w.daemons {
		text, err := os.ReadFile(d.settings)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &settings[i]); err != nil {
			return err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, settings[i]["peers"].(string))
		}
	}
	for i, d := range w.daemons {
		settings[i]["seeds"], settings[i]["data-centres"] = seeds, w.zones
		d.write(settings[i])
		if err := d.start(); err != nil {
			return err
		}
	}
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if d.ready() {
				ready++
			}
		}
		if ready == len(w.daemons) {
			break
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%d of %d gateways are ready", ready, len(w.daemons))
		}
	}
	for _, d := range w.daemons {
		d.inRotation = true
		go d.poll()
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command("target/apricotspool", "gateway")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "APRICOTSPOOL_BOOT=" + d.settings}
	d.command.Stdout, d.command.Stderr = out, out
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	d.w.note("gateway %s in zone %s: process started", d.name, d.zone)
	exited := make(chan struct{})
	d.mu.Lock()
	d.exited, d.alive = exited, true
	d.mu.Unlock()
	go func() {
		err := d.command.Wait()
		out.Close()
		d.mu.Lock()
		d.alive = false
		d.mu.Unlock()
		d.w.note("gateway %s: process ended: %v", d.name, err)
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.w.note("gateway %s: signal %v", d.name, s)
	d.command.Process.Signal(s)
}

func (d *daemon) kill() {
	if d.command != nil && d.command.Process != nil {
		d.command.Process.Kill()
		<-d.exited
	}
}

var healthClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (d *daemon) ready() bool {
	response, err := healthClient.Get("http://" + d.health + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// poll is the platform's check once a second: two misses in a row take the gateway out, a 200 brings it back.
func (d *daemon) poll() {
	for range time.Tick(time.Second) {
		ok := d.ready()
		d.mu.Lock()
		if ok {
			d.misses = 0
		} else {
			d.misses++
		}
		in := ok || (d.inRotation && d.misses < 2)
		if in != d.inRotation {
			d.w.note("platform: gateway %s in rotation: %t", d.name, in)
		}
		d.inRotation = in
		d.mu.Unlock()
	}
}

func (d *daemon) takesTraffic() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inRotation
}

// entry returns the gateway for a new connection of a client: one of its zone, or of all zones.
func (w *world) entry(client int, zone string) *daemon {
	var near, all []*daemon
	for _, d := range w.daemons {
		if d.takesTraffic() {
			all = append(all, d)
			if d.zone == zone {
				near = append(near, d)
			}
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return nil
	}
	return near[client%len(near)]
}

// logLines counts the lines of a gateway's log that contain a text.
func (d *daemon) logLines(text string) int {
	log, err := os.ReadFile(d.log)
	if err != nil {
		return 0
	}
	return strings.Count(string(log), text)
}
