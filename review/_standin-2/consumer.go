package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The operator's names in the configs of the cases.
const (
	host = "kallio.example"
	key  = "xd9dnn2ctnfzs989anu6"
)

// Consumers send requests at an even pace, as consumers do: they ask the system where to
// connect, and each takes one of the addresses at random. mu guards the fields below it.
type Consumers struct {
	lab    *Lab
	method string
	path   string // with a slash at its end
	limit  time.Duration
	stop   chan struct{}
	done   sync.WaitGroup

	mu        sync.Mutex
	addresses []string
	key       string
	sent      []*Sent
}

// Sent is a request and its answer.
type Sent struct {
	ID     string
	At     time.Time
	Edge   string
	Status int // 0: no answer
	Signed bool
	Body   string
	Ended  time.Time
}

// StartConsumers starts consumers that send so many requests a second together.
func (l *Lab) StartConsumers(method, path string, perSecond float64, limit time.Duration) *Consumers {
	c := &Consumers{lab: l, method: method, path: path, limit: limit, key: key, stop: make(chan struct{})}
	c.resolve()
	c.done.Add(2)
	go func() {
		defer c.done.Done()
		for c.sleep(2 * time.Second) {
			c.resolve()
		}
	}()
	go func() {
		defer c.done.Done()
		for i := 0; c.sleep(time.Duration(float64(time.Second) / perSecond)); i++ {
			c.done.Add(1)
			go func() {
				defer c.done.Done()
				c.send(i)
			}()
		}
	}()
	l.OnStop(func() { c.Stop() })
	return c
}

func (c *Consumers) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.stop:
		return false
	}
}

// Key has the consumers use another key.
func (c *Consumers) Key(other string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.key = other
}

// Stop ends the consumers and returns what they sent.
func (c *Consumers) Stop() []*Sent {
	c.mu.Lock()
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.mu.Unlock()
	c.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// resolve asks the system where to connect.
func (c *Consumers) resolve() {
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(c.lab.edges)) {
		e := c.lab.edges[i]
		resp, err := client.Get("http://" + e.Names + "/v1/resolution?" + url.Values{"name": {host}, "region": {"pirkanmaa"}, "zone": {e.Zone}}.Encode())
		if err != nil {
			continue
		}
		var got struct{ Addresses []string }
		err = json.NewDecoder(resp.Body).Decode(&got)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(got.Addresses) > 0 {
			c.mu.Lock()
			c.addresses = got.Addresses
			c.mu.Unlock()
			return
		}
	}
}

func (c *Consumers) send(i int) {
	c.mu.Lock()
	if len(c.addresses) == 0 {
		c.mu.Unlock()
		return
	}
	s := &Sent{ID: fmt.Sprintf("%s%04d", strings.Trim(c.path, "/"), i), At: time.Now(), Edge: c.addresses[rand.Intn(len(c.addresses))]}
	c.sent = append(c.sent, s)
	used := c.key
	c.mu.Unlock()
	status, signed, body := request(s.Edge, c.method, c.path+"x", s.ID, used, c.limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Status, s.Signed, s.Body, s.Ended = status, signed, body, time.Now()
	c.lab.NoteAt(s.At, "request %s, %s %sx, is sent to %s", s.ID, c.method, c.path, s.Edge)
	c.lab.Note("request %s is answered: status %d, signed %v, %q", s.ID, s.Status, s.Signed, s.Body)
}

// request sends one request on a new channel.
func request(address, method, path, id, key string, limit time.Duration) (status int, signed bool, body string) {
	var content io.Reader
	if method == http.MethodPost {
		content = strings.NewReader("reel 17")
	}
	req, err := http.NewRequest(method, "http://"+address+path, content)
	if err != nil {
		return 0, false, err.Error()
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+key)
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, false, err.Error()
	}
	return resp.StatusCode, resp.Header.Get("X-Server-Signature") != "", string(text)
}

// route returns a route of a config as JSON.
func route(name, prefix, kind, service string, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":%q,"timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":%q,"maxAttempts":%d,"public":false,"sticky":false,"resumable":false}`,
		name, host, prefix, kind, service, attempts)
}

// config returns a config as JSON.
func config(version int, services []string, routes ...string) string {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":192,"protocol":"h1","tls":false}`, s))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"huka270","apiKeys":[%q],"priority":1}]}`,
		version, strings.Join(routes, ","), strings.Join(list, ","), key)
}
