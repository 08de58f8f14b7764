package envdoc

import "time"

// file is the YAML form of an environment document. It has neither the environment
// nor the generation, so that the text of a trial document can be promoted to
// production unchanged.
type file struct {
	RequireCredential bool           `yaml:"require_credential"`
	Organisations     []organisation `yaml:"organisations" validate:"dive"`
	Models            []llm          `yaml:"models" validate:"dive"`
	Services          []service      `yaml:"services" validate:"dive"`
	Upstreams         []upstream     `yaml:"upstreams" validate:"dive"`
}

type organisation struct {
	ID               string `yaml:"id" validate:"required,name"`
	Weight           *int   `yaml:"weight" validate:"omitempty,min=1,max=1000000"` // default 1
	MaxInFlight      int    `yaml:"max_in_flight" validate:"min=0"`
	CredentialSHA256 string `yaml:"credential_sha256" validate:"omitempty,sha256"`
}

// Plan holds the fields that models and services share.
type Plan struct {
	Target   string `yaml:"target" validate:"required,version"`
	Previous string `yaml:"previous" validate:"omitempty,version"`
	FinishBy string `yaml:"finish_by" validate:"omitempty,datetime=2006-01-02T15:04:05Z07:00"`
}

type llm struct {
	Name     string `yaml:"name" validate:"required,name"`
	Plan     `yaml:",inline"`
	MaxQueue *int `yaml:"max_queue" validate:"required,min=1,max=1000000"`
}

type service struct {
	Name   string `yaml:"name" validate:"required,name"`
	Plan   `yaml:",inline"`
	Routes []route `yaml:"routes" validate:"min=1,dive"`
}

// route has a pointer for idempotent, because the field is required: a request on a
// route that is wrongly taken for idempotent can run twice.
type route struct {
	Method     string        `yaml:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string        `yaml:"path" validate:"required,urlpath"`
	Idempotent *bool         `yaml:"idempotent" validate:"required"`
	Timeout    time.Duration `yaml:"timeout" validate:"required,min=10ms,max=10m"`
}

type upstream struct {
	ID            string `yaml:"id" validate:"required,name"`
	Kind          string `yaml:"kind" validate:"required,oneof=engine service"`
	Address       string `yaml:"address" validate:"required,ipport"`
	Region        string `yaml:"region" validate:"required,name"`
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	Serves        string `yaml:"serves" validate:"required,name"`
	Version       string `yaml:"version" validate:"required,version"`
	Fencing       string `yaml:"fencing" validate:"required,oneof=honoured ignored"`
	// Adapters and Role apply to engines only.
	Adapters []string `yaml:"adapters" validate:"max=64,unique,dive,name"`
	Role     string   `yaml:"role" validate:"omitempty,name"`
}
