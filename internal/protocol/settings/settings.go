// Package settings decodes and checks the YAML settings files of the daemons. It
// reports all faults of a file at once, with lines and allowed values.
package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/strictyaml"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxFileBytes bounds a settings file. A file with 640 peers has about 20 KB.
const maxFileBytes = 1 << 20

// Common holds the settings that the entry and the control process share.
type Common struct {
	Instance      model.InstanceID    `yaml:"instance" validate:"required,instance"`
	Region        string              `yaml:"region" validate:"required,name"`
	FailureDomain model.FailureDomain `yaml:"failure_domain" validate:"required,name"`
	Environment   string              `yaml:"environment" validate:"required,oneof=trial production"`
	// PeerListen is the UDP address on which messages of other processes arrive.
	PeerListen string `yaml:"peer_listen" validate:"required,listen"`
	// PeerAdvertised is the UDP address that other processes use. Empty means
	// PeerListen, which then must name a host.
	PeerAdvertised string `yaml:"peer_advertised" validate:"omitempty,ipport"`
	// MetricsListen is the debug address, a TCP address that serves /metrics and
	// the debug API. Empty means no debug address; an entry process then serves
	// both on the address for callers.
	MetricsListen string `yaml:"metrics_listen" validate:"omitempty,listen"`
	// Peers are UDP addresses of control processes with which gossip starts.
	Peers    []string `yaml:"peers" validate:"dive,ipport"`
	Platform string   `yaml:"platform" validate:"required,http_url"`
	Debug    Debug    `yaml:"debug"`
	TLS      TLS      `yaml:"tls"`
	Log      Log      `yaml:"log"`
	Trace    Trace    `yaml:"trace"`
	// Workers is the size of the worker pool. 0 means two workers for each core.
	Workers int `yaml:"workers" validate:"min=0,max=4096"`
}

// Debug configures the access to the debug address.
type Debug struct {
	// CredentialSHA256 is the hex SHA-256 of the operators' bearer credential.
	// Empty means no credential: the debug API is then open, unless the
	// environment document requires credentials.
	CredentialSHA256 string `yaml:"credential_sha256" validate:"omitempty,sha256"`
	// TLS applies to MetricsListen.
	TLS ServerTLS `yaml:"tls"`
}

// ServerTLS names the certificate and key files of an address that serves HTTP.
// Either both are set, or neither, which means plain HTTP.
type ServerTLS struct {
	Cert string `yaml:"cert" validate:"required_with=Key"`
	Key  string `yaml:"key" validate:"required_with=Cert"`
}

// Enabled reports whether the address serves HTTPS.
func (t ServerTLS) Enabled() bool { return t.Cert != "" }

// TLS names the files for mutual TLS between processes.
type TLS struct {
	Cert string `yaml:"cert" validate:"required"`
	Key  string `yaml:"key" validate:"required"`
	CA   string `yaml:"ca" validate:"required"`
}

// Log configures the log output.
type Log struct {
	Format string `yaml:"format" validate:"oneof=text json"`
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Trace configures the export of traces over OTLP/HTTP.
type Trace struct {
	Endpoint string  `yaml:"endpoint" validate:"omitempty,http_url"` // empty means no export
	Sample   float64 `yaml:"sample" validate:"min=0,max=1"`          // fraction of new traces that is recorded
}

// Limits bound what one caller or one instance can use.
type Limits struct {
	BodyBytes  int64         `yaml:"body_bytes" validate:"min=1024,max=67108864"`
	HeaderTime time.Duration `yaml:"header_time" validate:"min=100ms,max=1m"`
	// BodyTime bounds the time from a request's header to the end of its body. It
	// does not bound the time of the answer.
	BodyTime   time.Duration `yaml:"body_time" validate:"min=100ms,max=10m"`
	MaxStreams int           `yaml:"max_streams" validate:"min=1,max=1000000"`
}

// Drain configures the planned stop of an entry process.
type Drain struct {
	// Margin is added to the time for which callers cache endpoint answers.
	Margin time.Duration `yaml:"margin" validate:"min=0s,max=5m"`
}

// Entryd holds the settings of the entry process.
type Entryd struct {
	Common `yaml:",inline"`
	// Listen is the TCP address for callers.
	Listen string `yaml:"listen" validate:"required,listen"`
	// Advertised is the TCP address that callers use. Empty means Listen,
	// which then must name a host.
	Advertised string `yaml:"advertised" validate:"omitempty,ipport"`
	// Control is the UDP address of the instance's control process.
	Control string `yaml:"control" validate:"required,ipport"`
	// ListenTLS applies to Listen.
	ListenTLS ServerTLS `yaml:"listen_tls"`
	Limits    Limits    `yaml:"limits"`
	Drain     Drain     `yaml:"drain"`
}

// Polls holds the intervals of the control process's periodic tasks, and the timeout
// of its calls to the platform.
type Polls struct {
	Document        time.Duration `yaml:"document" validate:"min=100ms,max=1m"`         // read of the document's head row
	Instances       time.Duration `yaml:"instances" validate:"min=100ms,max=1m"`        // read of the platform's list of instances
	Upstreams       time.Duration `yaml:"upstreams" validate:"min=100ms,max=1m"`        // probe of each watched upstream
	Gossip          time.Duration `yaml:"gossip" validate:"min=50ms,max=1m"`            // exchange with peers of the region
	GossipRegions   time.Duration `yaml:"gossip_regions" validate:"min=100ms,max=1m"`   // exchange with a peer of another region
	PlatformTimeout time.Duration `yaml:"platform_timeout" validate:"min=100ms,max=1m"` // of one call to the platform
}

// Controld holds the settings of the control process.
type Controld struct {
	Common `yaml:",inline"`
	// Entry is the UDP address of the instance's entry process.
	Entry string `yaml:"entry" validate:"required,ipport"`
	// EntryAdvertised is the TCP address of the entry process that callers use.
	EntryAdvertised string  `yaml:"entry_advertised" validate:"required,ipport"`
	Polls           Polls   `yaml:"polls"`
	Weights         Weights `yaml:"weights"`
}

// Weights limits the rate at which the region's engines are ordered to load weights
// from the weight store.
type Weights struct {
	LoadsPerSecond float64 `yaml:"loads_per_second" validate:"min=0.01,max=1000"`
	Burst          int     `yaml:"burst" validate:"min=1,max=1000"`
}

// LoadEntryd reads the settings of the entry process.
func LoadEntryd(path string) (*Entryd, error) {
	return load(path, ParseEntryd)
}

// LoadControld reads the settings of the control process.
func LoadControld(path string) (*Controld, error) {
	return load(path, ParseControld)
}

func load[T any](path string, parse func([]byte) (*T, strictyaml.Faults)) (*T, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	settings, faults := parse(src)
	if len(faults) > 0 {
		return nil, trace.BadParameter("settings %s:\n%v", path, faults.Error())
	}
	return settings, nil
}

// ParseEntryd decodes the settings of the entry process over the defaults.
func ParseEntryd(src []byte) (*Entryd, strictyaml.Faults) {
	s := DefaultEntryd()
	file := strictyaml.Decode(src, s, maxFileBytes)
	file.Validate(s)
	defaultAdvertised(file, &s.PeerAdvertised, s.PeerListen, "peer_listen")
	defaultAdvertised(file, &s.Advertised, s.Listen, "listen")
	return settingsOrFaults(s, file)
}

// ParseControld decodes the settings of the control process over the defaults.
func ParseControld(src []byte) (*Controld, strictyaml.Faults) {
	s := DefaultControld()
	file := strictyaml.Decode(src, s, maxFileBytes)
	file.Validate(s)
	defaultAdvertised(file, &s.PeerAdvertised, s.PeerListen, "peer_listen")
	return settingsOrFaults(s, file)
}

// defaultAdvertised sets an empty advertised address to the listen address, which must
// then be one that others can connect to.
func defaultAdvertised(file *strictyaml.File, advertised *string, listen, key string) {
	if *advertised != "" {
		return
	}
	if !strictyaml.IsAddress(listen) {
		file.Add(key, "must name a host and a port, not %q, unless the advertised address is set", listen)
	}
	*advertised = listen
}

func settingsOrFaults[T any](s *T, file *strictyaml.File) (*T, strictyaml.Faults) {
	if faults := file.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}
