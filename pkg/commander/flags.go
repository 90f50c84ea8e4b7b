package commander

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/printer"
)

const (
	defaultOperatorAddress = "127.0.0.1:8301"
	defaultCallerAddress   = "127.0.0.1:8101"
)

func newOutputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "text", Usage: "output `FORMAT`: text, json or csv"}
}

// newInstanceFlags returns the flags that select the instance whose administration API is called, and the output format.
func newInstanceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "instance", Value: defaultOperatorAddress, Usage: "administration `ADDRESS` of any instance",
			Sources: cli.EnvVars("LOVAGEDECK_INSTANCE"),
		},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the bearer token", Sources: cli.EnvVars("LOVAGEDECK_TOKEN_FILE")},
		&cli.StringFlag{Name: "tls-authority", Usage: "`FILE` with the CA certificate; enables TLS"},
		newOutputFlag(),
	}
}

func newOperatorClient(command *cli.Command) (*operator.Client, error) {
	var options []operator.ClientOption
	if path := command.String("token-file"); path != "" {
		token, err := os.ReadFile(path)
		if err != nil {
			return nil, usageErrorf("--token-file: %v", err)
		}
		options = append(options, operator.WithToken(strings.TrimSpace(string(token))))
	}
	config, err := newTLSConfig(command)
	if err != nil {
		return nil, err
	}
	if config != nil {
		options = append(options, operator.WithTLS(config))
	}
	return operator.NewClient(command.String("instance"), options...), nil
}

// newClientAndFormat returns the client and the output format of a subcommand that prints data from instances.
func newClientAndFormat(command *cli.Command) (*operator.Client, printer.Format, error) {
	format, err := parseOutputFormat(command)
	if err != nil {
		return nil, format, err
	}
	client, err := newOperatorClient(command)
	return client, format, err
}

func newTLSConfig(command *cli.Command) (*tls.Config, error) {
	path := command.String("tls-authority")
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, usageErrorf("--tls-authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, usageErrorf("--tls-authority: %s contains no certificate", path)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

func parseOutputFormat(command *cli.Command) (printer.Format, error) {
	format, err := printer.ParseFormat(command.String("output"))
	if err != nil {
		return format, &usageError{cause: err}
	}
	return format, nil
}

// newMemberClients returns a client for each member that the instance lists, or the given client if it lists none.
func newMemberClients(client *operator.Client) ([]*operator.Client, error) {
	status, err := client.Status()
	if err != nil {
		return nil, errors.Wrap(err, "get the list of instances; try another instance with --instance")
	}
	clients := []*operator.Client{}
	for _, member := range status.Members {
		clients = append(clients, client.WithAddress(member.OperatorAddress))
	}
	if len(clients) == 0 {
		clients = append(clients, client)
	}
	return clients, nil
}

// fetchTable returns a client and the current table of its instance.
func fetchTable(command *cli.Command) (*operator.Client, operator.Table, error) {
	client, err := newOperatorClient(command)
	if err != nil {
		return nil, operator.Table{}, err
	}
	table, err := client.Table()
	return client, table, err
}
