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
	defaultOperator = "127.0.0.1:8301"
	defaultCaller   = "127.0.0.1:8101"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "text", Usage: "print as `FORMAT`: text, json or csv"}
}

// instanceFlags name the instance whose administration API is called.
func instanceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "instance", Value: defaultOperator, Usage: "administration `ADDRESS` of any instance",
			Sources: cli.EnvVars("LOVAGEDECK_INSTANCE"),
		},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the bearer token", Sources: cli.EnvVars("LOVAGEDECK_TOKEN_FILE")},
		&cli.StringFlag{Name: "tls-authority", Usage: "`FILE` with the authority's certificate; turns TLS on"},
		outputFlag(),
	}
}

func operatorClient(command *cli.Command) (*operator.Client, error) {
	var options []operator.ClientOption
	if path := command.String("token-file"); path != "" {
		token, err := os.ReadFile(path)
		if err != nil {
			return nil, usagef("--token-file: %v", err)
		}
		options = append(options, operator.WithToken(strings.TrimSpace(string(token))))
	}
	config, err := clientTLS(command)
	if err != nil {
		return nil, err
	}
	if config != nil {
		options = append(options, operator.WithTLS(config))
	}
	return operator.NewClient(command.String("instance"), options...), nil
}

// operatorCall returns what every verb needs that asks instances and prints data.
func operatorCall(command *cli.Command) (*operator.Client, printer.Format, error) {
	format, err := outputFormat(command)
	if err != nil {
		return nil, format, err
	}
	client, err := operatorClient(command)
	return client, format, err
}

func clientTLS(command *cli.Command) (*tls.Config, error) {
	path := command.String("tls-authority")
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("--tls-authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, usagef("--tls-authority: %s holds no certificate", path)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

func outputFormat(command *cli.Command) (printer.Format, error) {
	format, err := printer.ParseFormat(command.String("output"))
	if err != nil {
		return format, &usageError{cause: err}
	}
	return format, nil
}

// allInstances returns a client of each member that the instance knows.
func allInstances(client *operator.Client) ([]*operator.Client, error) {
	status, err := client.Status()
	if err != nil {
		return nil, errors.Wrap(err, "ask for the members; name another instance with --instance")
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

// operatorTable returns a client and the present table.
func operatorTable(command *cli.Command) (*operator.Client, operator.Table, error) {
	client, err := operatorClient(command)
	if err != nil {
		return nil, operator.Table{}, err
	}
	table, err := client.Table()
	return client, table, err
}
