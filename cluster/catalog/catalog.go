package catalog

import "encoding/json"

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"backends"`
	Limits   Limits    `json:"limits"`

	text         string   // the JSON document, as sent or as merged by Apply
	members      []member // top-level fields of text
	routeTexts   []string // JSON of each route, in the order of Routes
	serviceTexts []string // JSON of each service, in the order of Services
}

// Route defines how requests to a host whose path begins with a prefix are handled.
type Route struct {
	Name          string  `json:"name" validate:"required"`
	Host          string  `json:"host" validate:"required"`
	PathPrefix    string  `json:"pathPrefix" validate:"startswith=/"`
	Type          string  `json:"type"`
	Service       string  `json:"backend" validate:"required"`
	Priority      int     `json:"priority" validate:"gte=0"`      // 0 is the highest
	TargetMs      float64 `json:"targetMs" validate:"gte=0"`      // target time until the client has the answer
	StartTargetMs float64 `json:"startTargetMs" validate:"gte=0"` // target time until a run starts
	TimeoutMs     float64 `json:"timeoutMs" validate:"gt=0"`      // of one delivery attempt
	Retries       int     `json:"retries" validate:"gte=0"`       // failed attempts after which a message is dead
	Ordered       bool    `json:"fifo"`                           // messages with the same key run in order, one at a time
	RetentionS    float64 `json:"retentionS" validate:"gte=0"`    // a message is finished this long after it was sent
	CallbackURL   bool    `json:"callbackUrl"`
}

// Service is a kind of worker.
type Service struct {
	Name       string  `json:"name" validate:"required"`
	HealthPath string  `json:"healthPath" validate:"omitempty,startswith=/"`
	MaxConns   int     `json:"maxConns" validate:"gte=0"` // connections that a worker accepts from all callers together
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	RatePerS   float64 `json:"ratePerS" validate:"gte=0"` // 0: unlimited
	Idempotent bool    `json:"idempotent"`
	Pull       bool    `json:"pull"`
	Endpoint   string  `json:"endpoint"` // fixed address; empty: the platform's list has the workers
}

// Limits bound what a client may send. Zero means no limit.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes" validate:"gte=0"`
	MaxBodyBytes    int     `json:"maxBodyBytes" validate:"gte=0"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs" validate:"gte=0"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs" validate:"gte=0"`
}

// Parse reads and checks a complete configuration. The error is of type Findings and lists every error found.
func Parse(document []byte) (*Config, error) {
	text, findings := checkJSON(document)
	if findings != nil {
		return nil, findings
	}
	return parse(text, &reader{})
}

// Load reads a configuration that has been checked before, such as one that the control plane has accepted. It costs a
// fraction of Parse, since it skips the validation of single fields; it still checks types and the references between
// items.
func Load(document []byte) (*Config, error) {
	text, findings := checkJSON(document)
	if findings != nil {
		return nil, findings
	}
	return parse(text, &reader{fieldsChecked: true})
}

func parse(text string, r *reader) (*Config, error) {
	c := r.config(text)
	if len(r.findings) == 0 {
		r.crossCheck(c)
	}
	if err := r.result(); err != nil {
		return nil, err
	}
	return c, nil
}

// Document returns the configuration as JSON. Parsing it gives an equal Config.
func (c *Config) Document() []byte {
	if c.text != "" {
		return []byte(c.text)
	}
	document, err := json.Marshal(c) // the Config was built in code, not parsed
	if err != nil {
		return nil // only a number that is not finite can't be encoded
	}
	return document
}
