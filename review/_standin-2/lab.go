// Command standin-2 holds the stand-ins and the checks of the cases 6 to 10 of
// review/REPORT-2.md. One process runs a case: the platform's store, the workers and the
// consumers are inside it, the instances of the system are processes of their own.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

// Bounds of the installation kallio-paisto.
const (
	drainTime   = 2 * time.Second         // drainMs
	contactTime = 3 * time.Second         // contactMs
	beatTime    = 1200 * time.Millisecond // heartbeatMs
	graceTime   = 8 * time.Second         // graceS
)

// cases maps the name of a case to its play. A play returns what broke the rule.
var cases = map[string]func(*Lab) []string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// unable ends a case that cannot run.
type unable struct{ error }

func play(name, folder string) (code int) {
	work, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(work) }()
	l := &Lab{start: time.Now(), work: work, trouble: os.Getenv("TROUBLE") != "0", retryAllowance: 300}
	defer func() {
		l.stopAll()
		if e := os.WriteFile(filepath.Join(folder, "record.txt"), []byte(l.text()), 0o644); e != nil {
			fmt.Fprintln(os.Stderr, e)
			code = 2
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			logs, _ := filepath.Glob(filepath.Join(work, "*.out"))
			for _, file := range logs {
				text, _ := os.ReadFile(file)
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(file)), text, 0o644)
			}
		}
	}()
	defer func() {
		switch e := recover().(type) {
		case nil:
		case unable:
			l.Note("the case could not run: %v", e.error)
			fmt.Fprintln(os.Stderr, "could not run:", e.error)
			code = 2
		default:
			panic(e)
		}
	}()
	l.endInTime()
	broken := cases[name](l)
	if len(broken) == 0 {
		l.Note("verdict: the rule held")
		fmt.Println("the rule held")
		return 0
	}
	l.Note("verdict: the rule was broken, %d times", len(broken))
	for _, b := range broken {
		l.Note("broken: %s", b)
	}
	fmt.Printf("the rule was broken, %d times; the first: %s\n", len(broken), broken[0])
	return 1
}

// caseTime bounds a case, which may run for 120 s.
const caseTime = 115 * time.Second

// endInTime ends all processes if the case is stopped or takes too long.
func (l *Lab) endInTime() {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stops:
		case <-time.After(caseTime):
		}
		fmt.Fprintln(os.Stderr, "could not run: stopped, or longer than", caseTime)
		l.kill()
		_ = os.RemoveAll(l.work)
		os.Exit(2)
	}()
}

// kill ends the processes of all instances.
func (l *Lab) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.processes {
		_ = p.Kill()
	}
}

// Lab is the surroundings of a case. mu guards the fields below it.
type Lab struct {
	start   time.Time
	work    string
	trouble bool
	store   *fleet.Store
	storeAt string
	edges   []*Edge
	// retryAllowance is the figure of that name in the settings.
	retryAllowance float64

	mu        sync.Mutex
	lines     []line
	closers   []func()
	workers   []*Worker
	processes []*os.Process
}

type line struct {
	at   time.Duration
	text string
}

func check(err error) {
	if err != nil {
		panic(unable{err})
	}
}

// Note adds a line to the record.
func (l *Lab) Note(format string, args ...any) {
	l.NoteAt(time.Now(), format, args...)
}

// NoteAt is Note for what happened at an earlier time.
func (l *Lab) NoteAt(at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line{at.Sub(l.start), fmt.Sprintf(format, args...)})
}

func (l *Lab) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(l.lines, func(i, j int) bool { return l.lines[i].at < l.lines[j].at })
	var out strings.Builder
	for _, x := range l.lines {
		fmt.Fprintf(&out, "%8.3f s  %s\n", x.at.Seconds(), x.text)
	}
	return out.String()
}

// OnStop has f called at the end of the case.
func (l *Lab) OnStop(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, f)
}

func (l *Lab) stopAll() {
	l.mu.Lock()
	closers := l.closers
	l.closers = nil
	l.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

// StartStore serves the platform's store, with the operator's first config in it.
func (l *Lab) StartStore(config string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l.store, l.storeAt = fleet.NewStore(), listener.Addr().String()
	server := &http.Server{Handler: l.store}
	go func() { _ = server.Serve(listener) }()
	l.OnStop(func() { _ = server.Close() })
	l.Put("op", "config", config)
}

// Put writes a row as the operator, a worker or another writer does. It returns the time of
// the store's confirmation.
func (l *Lab) Put(table, key string, data any) time.Time {
	text, isText := data.(string)
	if !isText {
		encoded, err := json.Marshal(data)
		check(err)
		text = string(encoded)
	}
	l.store.Put(table, key, []byte(text))
	return time.Now()
}

// Edge is an instance of the system, a process of its own.
type Edge struct {
	lab      *Lab
	Name     string
	Zone     string
	IP       string
	Callers  string // IP:port for consumers
	Ready    string
	Names    string // IP:port for consumers that ask where to connect
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// zones are the places of the instances and the workers in turn.
var zones = []string{"oven-hall", "cooling-room", "archive-wing"}

// StartEdges starts n instances, each at a loopback address of its own, as the whole system
// starts for the first time, and waits until all are ready.
func (l *Lab) StartEdges(n int) {
	base := l.freeBase(n)
	for i := range n {
		e := &Edge{lab: l, Name: fmt.Sprintf("edge-%d", i+1), Zone: zones[i%len(zones)], IP: fmt.Sprintf("%s.%d", base, i+1)}
		e.Callers, e.Ready, e.Names = e.IP+":8740", e.IP+":8749", e.IP+":8746"
		l.edges = append(l.edges, e)
	}
	for _, e := range l.edges {
		e.writeSettings(true)
		e.Start()
		e.writeSettings(false)
	}
	for _, e := range l.edges {
		e.AwaitReady()
	}
	l.Note("%d instances are ready", n)
}

// reservedPort is held at the first loopback address of a case until its end, so that no
// other case takes the addresses while processes are down.
const reservedPort = 8751

// freeBase returns the first three parts of loopback addresses whose ports are free, and
// reserves them.
func (l *Lab) freeBase(n int) string {
	for part := 64 + os.Getpid()%64; part < 250; part++ {
		base := fmt.Sprintf("127.0.%d", part)
		reserved, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", base, reservedPort))
		if err != nil {
			continue
		}
		free := true
		for i := 1; i <= n && free; i++ {
			for _, port := range []int{7200, 8740, 8746, 8748, 8749} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", base, i, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			l.OnStop(func() { _ = reserved.Close() })
			return base
		}
		_ = reserved.Close()
	}
	panic(unable{fmt.Errorf("no free loopback addresses")})
}

func (e *Edge) writeSettings(bootstrap bool) {
	e.settings = filepath.Join(e.lab.work, e.Name+".json")
	places := map[string]string{}
	for _, zone := range zones {
		places[zone] = "pirkanmaa"
	}
	settings := map[string]any{
		"nodeName": e.Name, "role": "edge", "machineClass": "edge", "servingRoles": []string{"edge", "registry"},
		"ip": e.IP, "zone": e.Zone, "region": "pirkanmaa", "zones": places,
		"listen":    map[string]string{"frontend": e.Callers, "readiness": e.Ready, "controlPlane": e.IP + ":8748", "directorySvc": e.Names},
		"portRange": []int{7200, 7215}, "seedNodes": []string{e.lab.edges[0].IP + ":8748"}, "bootstrap": bootstrap,
		"limits":          map[string]any{"cpuQuota": 0.272, "cpuCores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
		"discoverySource": "platform", "entryKind": "registry", "heartbeatMs": beatTime.Milliseconds(),
		"contractSet":    []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "rollout", "platform"},
		"faultTolerance": map[string]int{"machineLosses": 1, "zones": 0, "regionLosses": 0},
		"contractParams": map[string]any{
			"seedLagS": 3, "reuseDelayS": 2, "contactMs": contactTime.Milliseconds(), "ackTimeoutMs": 4000, "catchUpS": 4,
			"drainMs": drainTime.Milliseconds(), "graceS": graceTime.Seconds(), "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
			"skewBoundMs": 5000, "failClosed": false, "revokeMs": 5000, "retryRatio": 0.8, "retryWindowS": 10, "retryAllowance": e.lab.retryAllowance,
			"exposureRatio": 0.1, "exposureAllowance": 50, "rollbackMs": 5000, "recoveryS": 12, "lateAfterMs": 120, "cacheWindowS": 10, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": e.lab.storeAt, "form": "table", "writesPerS": 400, "readsPerS": 2000, "transactionMs": 5.0, "partitionWritesS": 200,
			"rowBytes": 65536, "crossPartition": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	}
	text, err := json.Marshal(settings)
	check(err)
	check(os.WriteFile(e.settings, text, 0o644))
}

// Start starts the process with the command of the deploy file.
func (e *Edge) Start() {
	out, err := os.OpenFile(filepath.Join(e.lab.work, e.Name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	e.cmd = exec.Command("target/edged", "--metrics-port=7200")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.lab.work, "LANG=C", "SEQUOIAVALVE_BOOT=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	check(e.cmd.Start())
	e.lab.mu.Lock()
	e.lab.processes = append(e.lab.processes, e.cmd.Process)
	e.lab.mu.Unlock()
	cmd, ended := e.cmd, make(chan struct{})
	e.ended = ended
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	e.lab.OnStop(func() {
		_ = cmd.Process.Kill()
		<-ended
	})
	e.lab.Note("%s starts", e.Name)
}

// Signal sends a signal to the process.
func (e *Edge) Signal(s syscall.Signal) {
	e.lab.Note("%s gets signal %v", e.Name, s)
	_ = e.cmd.Process.Signal(s)
}

// AwaitReady waits until the process serves.
func (e *Edge) AwaitReady() {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + e.Ready + "/v1/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	panic(unable{fmt.Errorf("%s is not ready", e.Name)})
}
