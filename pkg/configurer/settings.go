// The settings file is JSON with comments. The folder examples has complete files:
//
//	{
//	  "cluster": "fruit-standards", // the same for all instances
//	  "instance": "entry-1",
//	  "data-centre": "ub-a",
//	  "listen": {"caller": "127.0.0.1:8101", "fellow": "127.0.0.1:8201", "operator": "127.0.0.1:8301"}
//	}

package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

const (
	// defaultGracePeriod is what many process supervisors wait before they kill a process.
	defaultGracePeriod = 30 * time.Second
	minGracePeriod     = time.Second
	maxGracePeriod     = 10 * time.Minute
)

type (
	// Settings holds the contents of the settings file of one instance.
	Settings struct {
		Cluster    string `json:"cluster"`
		Instance   string `json:"instance"`
		DataCentre string `json:"data-centre"`
		Listen     Listen `json:"listen"`
		// Control lists all control instances of the cluster.
		Control []ControlMember `json:"control"`
		// DataDir is the path of the data folder of a control instance; it is empty for other instances.
		DataDir string `json:"data-folder"`
		// PlatformURL is the URL of the platform, which publishes the list of leafs.
		PlatformURL string `json:"platform"`
		// KeyFile is the path of the file with the cluster key, which all instances share.
		KeyFile string `json:"key-file"`
		Tokens  Tokens `json:"tokens"`
		TLS     TLS    `json:"tls"`
		Log     Log    `json:"log"`
		// GracePeriodMs is the time from SIGTERM until the process is killed, in milliseconds. 0 selects the default.
		GracePeriodMs int    `json:"grace-period-ms"`
		Limits        Limits `json:"limits"`
		dir           string
	}

	// Listen holds the addresses that an instance listens on, each an IP address with a port.
	Listen struct {
		// Caller is the address of the API for queries.
		Caller string `json:"caller"`
		// Peer is the address for connections from other instances.
		Peer string `json:"fellow"`
		// Operator is the address of the administration API.
		Operator string `json:"operator"`
	}

	// ControlMember names a control instance and the address on which it listens for other instances.
	ControlMember struct {
		Instance    string `json:"instance"`
		PeerAddress string `json:"fellow"`
	}

	// Tokens holds the SHA-256 hashes of the bearer tokens of the administration API, in hexadecimal digits.
	Tokens struct {
		ReadSHA256  string `json:"read-sha256"`
		WriteSHA256 string `json:"write-sha256"`
	}

	// TLS holds the paths of the certificate and key files, all of which are empty if connections are not encrypted.
	TLS struct {
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authority   string `json:"authority"`
	}

	// Log holds the format and the level of the log.
	Log struct {
		Format string `json:"format"`
		Level  string `json:"level"`
	}

	// Error is one error of a settings file.
	Error struct {
		file   string
		key    string
		line   int
		reason string
	}

	// ErrorList holds all errors of a settings file.
	ErrorList struct {
		errors []Error
	}
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func (e Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.file, e.line, e.key, e.reason)
}

// Line returns the line of the error, counted from 1.
func (e Error) Line() int { return e.line }

// Key returns the path of the key, such as listen/caller, or (syntax) if the file is not valid JSON.
func (e Error) Key() string { return e.key }

// Errors returns the errors in the order in which they were found.
func (e *ErrorList) Errors() []Error { return e.errors }

func (e *ErrorList) Error() string {
	lines := make([]string, 0, len(e.errors))
	for _, item := range e.errors {
		lines = append(lines, item.Error())
	}
	return strings.Join(lines, "\n")
}

// Read reads and validates a settings file, and returns an *ErrorList if the settings are invalid.
func Read(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, content)
}

// Parse validates the content of the settings file at path, and returns an *ErrorList if the settings are invalid.
func Parse(path string, content []byte) (Settings, error) {
	checker := &checker{file: path, content: content}
	settings := Settings{dir: filepath.Dir(path)}
	tree, err := hujson.Parse(content)
	if err != nil {
		checker.addErrorAt(syntaxErrorLine(err), "(syntax)", err.Error())
		return settings, checker.err()
	}
	checker.tree = tree
	standardized := tree.Clone()
	standardized.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(standardized.Pack()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		checker.addDecodeError(err, decoder.InputOffset())
		return settings, checker.err()
	}
	checker.check(settings)
	return settings, checker.err()
}

// ResolvePath resolves a path from the settings relative to the folder of the settings file.
func (s Settings) ResolvePath(file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(s.dir, file)
}

// IsControl reports whether the instance is a control instance, which is the case if it has a data folder.
func (s Settings) IsControl() bool { return s.DataDir != "" }

// GracePeriod returns the time from SIGTERM until the process is killed.
func (s Settings) GracePeriod() time.Duration {
	if s.GracePeriodMs == 0 {
		return defaultGracePeriod
	}
	return time.Duration(s.GracePeriodMs) * time.Millisecond
}

func (c *checker) check(s Settings) {
	c.checkName("cluster", s.Cluster)
	c.checkName("instance", s.Instance)
	c.checkName("data-centre", s.DataCentre)
	c.checkAddress("listen/caller", s.Listen.Caller)
	c.checkAddress("listen/fellow", s.Listen.Peer)
	c.checkAddress("listen/operator", s.Listen.Operator)
	c.checkControl(s)
	if parsed, err := url.Parse(s.PlatformURL); err != nil || parsed.Host == "" {
		c.addError("platform", fmt.Sprintf("%q is not a URL with a host", s.PlatformURL))
	}
	if s.KeyFile == "" {
		c.addError("key-file", "missing; it must name the file with the cluster key")
	}
	c.checkHash("tokens/read-sha256", s.Tokens.ReadSHA256)
	c.checkHash("tokens/write-sha256", s.Tokens.WriteSHA256)
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		c.addError("tls", "certificate and key must be set together")
	}
	c.checkEnum("log/format", s.Log.Format, "", "text", "json")
	c.checkEnum("log/level", s.Log.Level, "", "info", "debug")
	c.checkLimits(s.Limits)
	if grace := s.GracePeriod(); grace < minGracePeriod || grace > maxGracePeriod {
		c.addError("grace-period-ms", fmt.Sprintf("%d is not from %d to %d", s.GracePeriodMs, minGracePeriod.Milliseconds(), maxGracePeriod.Milliseconds()))
	}
}

func (c *checker) checkControl(s Settings) {
	if len(s.Control) == 0 {
		c.addError("control", "no control instance is listed")
	}
	isListed := false
	for i, member := range s.Control {
		c.checkName(fmt.Sprintf("control/%d/instance", i), member.Instance)
		c.checkAddress(fmt.Sprintf("control/%d/fellow", i), member.PeerAddress)
		isListed = isListed || member.Instance == s.Instance
	}
	if s.IsControl() && !isListed {
		c.addError("data-folder", fmt.Sprintf("instance %q has a data folder but is not listed under control", s.Instance))
	}
}

func (c *checker) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		c.addError(key, fmt.Sprintf("%q is not a kebab-case name of at most 63 characters", value))
	}
}

func (c *checker) checkAddress(key, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.addError(key, fmt.Sprintf("%q is not an IP address with a port", value))
	}
}

func (c *checker) checkHash(key, value string) {
	if value != "" && !hashPattern.MatchString(value) {
		c.addError(key, "not a SHA-256 hash of 64 lowercase hexadecimal digits")
	}
}

// checkEnum checks that the value is one of the allowed ones. The first of these is the empty default, which the message
// leaves out.
func (c *checker) checkEnum(key, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	c.addError(key, fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed[1:], ", ")))
}
