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

// certificateFiles provides TLS configurations from the certificate files and reloads the files when they change.
type certificateFiles struct {
	certificatePath string
	keyPath         string
	authorityPath   string
	mu              sync.Mutex
	modifiedAt      time.Time
	keyPair         *tls.Certificate
	authorityPool   *x509.CertPool
}

func newCertificateFiles(settings configurer.Settings) (*certificateFiles, error) {
	c := &certificateFiles{
		certificatePath: settings.ResolvePath(settings.TLS.Certificate), keyPath: settings.ResolvePath(settings.TLS.Key),
		authorityPath: settings.ResolvePath(settings.TLS.Authority),
	}
	if c.certificatePath == "" {
		return c, nil
	}
	_, _, err := c.current()
	return c, err
}

func (c *certificateFiles) isMutual() bool { return c.certificatePath != "" && c.authorityPath != "" }

// serverConfig returns the TLS configuration for callers and operators, or nil if TLS is disabled.
func (c *certificateFiles) serverConfig() *tls.Config {
	if c.certificatePath == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		pair, _, err := c.current()
		return pair, err
	}}
}

func (c *certificateFiles) mutualServerConfig() *tls.Config {
	pair, pool, err := c.current()
	if err != nil {
		return &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

func (c *certificateFiles) mutualClientConfig() *tls.Config {
	pair, pool, err := c.current()
	if err != nil {
		return &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*pair}, RootCAs: pool, ServerName: instanceServerName,
	}
}

// instanceServerName is the server name in the certificate of every instance.
const instanceServerName = "lovagedeck"

// current returns the key pair and the CA pool, and reloads them if a file was modified.
func (c *certificateFiles) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	modifiedAt, err := latestModification(c.certificatePath, c.keyPath, c.authorityPath)
	if err != nil {
		return c.lastLoadedOr(errors.Wrap(err, "tls: stat the certificate files"))
	}
	if c.keyPair != nil && !modifiedAt.After(c.modifiedAt) {
		return c.keyPair, c.authorityPool, nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificatePath, c.keyPath)
	if err != nil {
		return c.lastLoadedOr(errors.Wrap(err, "tls: load the key pair"))
	}
	pool, err := readAuthority(c.authorityPath)
	if err != nil {
		return c.lastLoadedOr(err)
	}
	c.keyPair, c.authorityPool, c.modifiedAt = &pair, pool, modifiedAt
	return c.keyPair, c.authorityPool, nil
}

// lastLoadedOr returns the last valid key pair and CA pool, or err if none was loaded. A failed reload thus does not
// interrupt service.
func (c *certificateFiles) lastLoadedOr(err error) (*tls.Certificate, *x509.CertPool, error) {
	if c.keyPair != nil {
		return c.keyPair, c.authorityPool, nil
	}
	return nil, nil, err
}

func readAuthority(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "tls: read the CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, errors.Errorf("tls: %s contains no certificate", path)
	}
	return pool, nil
}

func latestModification(paths ...string) (time.Time, error) {
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
