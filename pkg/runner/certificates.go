package runner

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/configurer"
)

// certificates reads the key files again when they change.
type certificates struct {
	certificate string
	key         string
	authority   string
	mu          sync.Mutex
	readAt      time.Time
	pair        *tls.Certificate
	pool        *x509.CertPool
}

func newCertificates(settings configurer.Settings) (*certificates, error) {
	c := &certificates{
		certificate: settings.ResolvePath(settings.TLS.Certificate), key: settings.ResolvePath(settings.TLS.Key),
		authority: settings.ResolvePath(settings.TLS.Authority),
	}
	if c.certificate == "" {
		return c, nil
	}
	_, _, err := c.current()
	return c, err
}

func (c *certificates) mutual() bool { return c.certificate != "" && c.authority != "" }

// server returns the configuration towards callers and operators, or nil where connections are plain.
func (c *certificates) server() *tls.Config {
	if c.certificate == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		pair, _, err := c.current()
		return pair, err
	}}
}

func (c *certificates) serverMutual() *tls.Config {
	pair, pool, err := c.current()
	if err != nil {
		return &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

func (c *certificates) clientMutual() *tls.Config {
	pair, pool, err := c.current()
	if err != nil {
		return &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*pair}, RootCAs: pool, ServerName: instanceServerName,
	}
}

// instanceServerName is the name that the certificate of every instance carries.
const instanceServerName = "lovagedeck"

// current returns the key pair and the authority, read again after a change of the files.
func (c *certificates) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed, err := newest(c.certificate, c.key, c.authority)
	if err != nil {
		return c.orLast(errors.Wrap(err, "tls: look at the key files"))
	}
	if c.pair != nil && !changed.After(c.readAt) {
		return c.pair, c.pool, nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return c.orLast(errors.Wrap(err, "tls: read the key pair"))
	}
	pool, err := readAuthority(c.authority)
	if err != nil {
		return c.orLast(err)
	}
	c.pair, c.pool, c.readAt = &pair, pool, changed
	return c.pair, c.pool, nil
}

// orLast keeps the last good files while new ones cannot be read.
func (c *certificates) orLast(err error) (*tls.Certificate, *x509.CertPool, error) {
	if c.pair != nil {
		return c.pair, c.pool, nil
	}
	return nil, nil, err
}

func readAuthority(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "tls: read the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, errors.Errorf("tls: %s holds no certificate", path)
	}
	return pool, nil
}

func newest(paths ...string) (time.Time, error) {
	var latest time.Time
	for _, path := range paths {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return latest, err
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
