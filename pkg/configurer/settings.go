// Settings are JSON with comments; examples/ has whole files:
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

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

type (
	// Settings are the settings of one instance as they stand in the file.
	Settings struct {
		Cluster    string          `json:"cluster"`
		Instance   string          `json:"instance"`
		DataCentre string          `json:"data-centre"`
		Listen     Listen          `json:"listen"`
		Control    []ControlMember `json:"control"`
		DataFolder string          `json:"data-folder"`
		Platform   string          `json:"platform"`
		KeyFile    string          `json:"key-file"`
		Tokens     Tokens          `json:"tokens"`
		TLS        TLS             `json:"tls"`
		Log        Log             `json:"log"`
		folder     string
	}

	// Listen has the addresses of an instance.
	Listen struct {
		Caller   string `json:"caller"`
		Fellow   string `json:"fellow"`
		Operator string `json:"operator"`
	}

	// ControlMember is one control instance.
	ControlMember struct {
		Instance string `json:"instance"`
		Fellow   string `json:"fellow"`
	}

	// Tokens has the SHA-256 sums, in hexadecimal, of the bearer tokens of the administration API.
	Tokens struct {
		ReadSHA256  string `json:"read-sha256"`
		WriteSHA256 string `json:"write-sha256"`
	}

	// TLS has the key files; all are empty where connections are plain.
	TLS struct {
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authority   string `json:"authority"`
	}

	// Log says how logs are written.
	Log struct {
		Format string `json:"format"`
		Level  string `json:"level"`
	}

	// Fault is one fault of a settings file.
	Fault struct {
		file   string
		key    string
		line   int
		reason string
	}

	// FaultsError has all faults of a settings file.
	FaultsError struct {
		faults []Fault
	}
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.key, f.reason)
}

// Line returns the line of the fault, from 1.
func (f Fault) Line() int { return f.line }

// Key returns the path of the key, such as listen/caller.
func (f Fault) Key() string { return f.key }

// Faults returns each fault.
func (e *FaultsError) Faults() []Fault { return e.faults }

func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, fault := range e.faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Read reads and checks a settings file; bad settings are a *FaultsError.
func Read(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, content)
}

// Parse checks the content of a settings file.
func Parse(path string, content []byte) (Settings, error) {
	checker := &checker{file: path, content: content}
	settings := Settings{folder: filepath.Dir(path)}
	tree, err := hujson.Parse(content)
	if err != nil {
		checker.addAt(lineOfError(err), "(syntax)", err.Error())
		return settings, checker.error()
	}
	checker.tree = tree
	plain := tree.Clone()
	plain.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(plain.Pack()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		checker.addDecode(err, decoder.InputOffset())
		return settings, checker.error()
	}
	checker.check(settings)
	return settings, checker.error()
}

// Path returns a file of the settings relative to the folder of the settings file.
func (s Settings) Path(file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(s.folder, file)
}

// IsControl tells whether the instance has the control role.
func (s Settings) IsControl() bool { return s.DataFolder != "" }

func (c *checker) check(s Settings) {
	c.name("cluster", s.Cluster)
	c.name("instance", s.Instance)
	c.name("data-centre", s.DataCentre)
	c.address("listen/caller", s.Listen.Caller)
	c.address("listen/fellow", s.Listen.Fellow)
	c.address("listen/operator", s.Listen.Operator)
	c.checkControl(s)
	if parsed, err := url.Parse(s.Platform); err != nil || parsed.Host == "" {
		c.add("platform", fmt.Sprintf("%q is not an http address", s.Platform))
	}
	if s.KeyFile == "" {
		c.add("key-file", "it is missing; it names the file with the key of the cluster")
	}
	c.hash("tokens/read-sha256", s.Tokens.ReadSHA256)
	c.hash("tokens/write-sha256", s.Tokens.WriteSHA256)
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		c.add("tls", "certificate and key go together")
	}
	c.word("log/format", s.Log.Format, "", "text", "json")
	c.word("log/level", s.Log.Level, "", "info", "debug")
}

func (c *checker) checkControl(s Settings) {
	if len(s.Control) == 0 {
		c.add("control", "it names no control instance")
	}
	listed := false
	for i, member := range s.Control {
		c.name(fmt.Sprintf("control/%d/instance", i), member.Instance)
		c.address(fmt.Sprintf("control/%d/fellow", i), member.Fellow)
		listed = listed || member.Instance == s.Instance
	}
	if s.IsControl() && !listed {
		c.add("data-folder", fmt.Sprintf("instance %q has a data folder but is not listed under control", s.Instance))
	}
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.add(key, fmt.Sprintf("%q is not a kebab-case name of at most 63 characters", value))
	}
}

func (c *checker) address(key, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.add(key, fmt.Sprintf("%q is not an IP number with a port", value))
	}
}

func (c *checker) hash(key, value string) {
	if value != "" && !hashPattern.MatchString(value) {
		c.add(key, "it is not a SHA-256 sum of 64 hexadecimal digits")
	}
}

func (c *checker) word(key, value string, allowed ...string) {
	for _, word := range allowed {
		if value == word {
			return
		}
	}
	c.add(key, fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed[1:], ", ")))
}
