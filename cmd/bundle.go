package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// privateKeyMode makes a private key readable only by its owner.
const privateKeyMode os.FileMode = 0o600

func bundleCommand() *cli.Command {
	return &cli.Command{
		Name:  "bundle",
		Usage: "generate keys, and check, sign and show bundles",
		Description: "A bundle declares services, regions, homes, classes and limits of a deployment. Entries\n" +
			"accept it only if it is signed with a trusted key and has a higher version.\n" +
			"FILE may be '-' for standard input.",
		Commands: []*cli.Command{bundleKeygen(), bundleCheck(), bundleSign(), bundleShow()},
	}
}

func bundleKeygen() *cli.Command {
	return &cli.Command{
		Name:  "keygen",
		Usage: "generate a key pair and print the public key as id=base64",
		Description: "Writes the private key to a new file that only you can read. Add the printed public key\n" +
			"to the --bundle-keys of every entry before you sign with the private key.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "id of the key, such as k1", Required: true},
			&cli.StringFlag{Name: "private", Usage: "file to create for the private key", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			public, private, err := bundle.GenerateKey(ident.Key(c.String("id")))
			if err != nil {
				return err
			}
			if err := createFile(c.String("private"), []byte(private.Encode()+"\n"), privateKeyMode); err != nil {
				return errors.Wrap(err, "write private key")
			}
			return printLine(c, "%s", public)
		},
	}
}

func bundleCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a bundle document without signing it",
		ArgsUsage: "FILE",
		Description: "Prints the version and a summary of the document. For an invalid document it prints one line\n" +
			"per error, which starts with the path of the field, and exits with status 1.",
		Action: func(_ context.Context, c *cli.Command) error {
			body, err := readArgument(c)
			if err != nil {
				return err
			}
			document, err := bundle.Parse(body)
			if err != nil {
				return err
			}
			return printDocument(c, document)
		},
	}
}

func bundleSign() *cli.Command {
	return &cli.Command{
		Name:      "sign",
		Usage:     "validate and sign a bundle document",
		ArgsUsage: "FILE",
		Description: "Prints the signed bundle, which is to be published in the configuration service. Signing alone\n" +
			"has no effect on entries. With --after, the version must be higher than that of the given bundle.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "private", Usage: "file with the private key", Required: true},
			&cli.StringFlag{Name: "after", Usage: "file with the active signed bundle, which this one replaces"},
		},
		Action: signBundle,
	}
}

func signBundle(_ context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.String("private"))
	if err != nil {
		return errors.Wrap(err, "read private key")
	}
	key, err := bundle.ParsePrivateKey(string(text))
	if err != nil {
		return errors.Wrap(err, c.String("private"))
	}
	body, err := readArgument(c)
	if err != nil {
		return err
	}
	signed, err := bundle.Sign(key, body)
	if err != nil {
		return err
	}
	if err := checkAfter(c.String("after"), body); err != nil {
		return err
	}
	return printLine(c, "%s", signed.Encode())
}

// checkAfter returns an error if the version of the document is not higher than
// that of the signed bundle in the file. An empty name skips the check.
func checkAfter(name string, body []byte) error {
	if name == "" {
		return nil
	}
	encoded, err := readFile(nil, name)
	if err != nil {
		return err
	}
	signed, err := bundle.ParseUnverified(encoded)
	if err != nil {
		return errors.Wrap(err, name)
	}
	old, err := bundle.Parse(signed.Body)
	if err != nil {
		return errors.Wrap(err, name)
	}
	next, err := bundle.Parse(body)
	if err != nil {
		return err
	}
	if next.Version <= old.Version {
		return errors.Errorf("version: %d is not above %d of %s", next.Version, old.Version, name)
	}
	return nil
}

func bundleShow() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show the content of a signed bundle",
		ArgsUsage: "FILE",
		Description: "Prints the key, the digest, the version and a summary of the document. Without --bundle-keys\n" +
			"the signature is not verified, and the output says so.",
		Flags: []cli.Flag{
			stringFlag("bundle-keys", "public keys (ID=BASE64,...) to verify with"),
			&cli.BoolFlag{Name: "body", Usage: "print the document instead of a summary"},
		},
		Action: showBundle,
	}
}

func showBundle(_ context.Context, c *cli.Command) error {
	encoded, err := readArgument(c)
	if err != nil {
		return err
	}
	signed, verified, err := openBundle(c.String("bundle-keys"), encoded)
	if err != nil {
		return err
	}
	if c.Bool("body") {
		_, err = c.Root().Writer.Write(signed.Body)
		return errors.Wrap(err, "write output")
	}
	document, err := bundle.Parse(signed.Body)
	if err != nil {
		return err
	}
	if err := printLine(c, "key %s, signature %s\ndigest %x", signed.Key, verified, signed.Digest()); err != nil {
		return err
	}
	return printDocument(c, document)
}

// openBundle decodes a signed bundle and verifies its signature if keys are given.
func openBundle(keys string, encoded []byte) (signed bundle.Signed, verified string, err error) {
	if keys == "" {
		signed, err = bundle.ParseUnverified(encoded)
		return signed, "not verified", err
	}
	known, err := bundle.ParseKeys(keys)
	if err != nil {
		return bundle.Signed{}, "", errors.Wrap(err, "--bundle-keys")
	}
	signed, err = bundle.Verify(known, encoded)
	return signed, "verified", err
}

func printDocument(c *cli.Command, document *bundle.Document) error {
	lines := []string{
		fmt.Sprintf("version %d of deployment %s", document.Version, document.Deployment),
		fmt.Sprintf("regions %v", document.Regions),
	}
	for _, h := range document.Homes {
		lines = append(lines, fmt.Sprintf("home %s in %v", h.Name, h.Regions))
	}
	for _, s := range document.Classes {
		lines = append(lines, fmt.Sprintf("class %s: urgency %d, first %v, between %v, share %v", s.Name, s.Urgency, s.FirstTokenTarget, s.BetweenTokensTarget, s.MaxShare))
	}
	for _, s := range document.Services {
		lines = append(lines, fmt.Sprintf("service %s: %s in %v, %d calls", s.Name, s.Kind, s.Regions, len(s.Calls)))
	}
	return printLine(c, "%s", strings.Join(lines, "\n"))
}

func printLine(c *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(c.Root().Writer, format+"\n", args...)
	return errors.Wrap(err, "write output")
}

// readArgument reads the file named by the only argument.
func readArgument(c *cli.Command) ([]byte, error) {
	if c.Args().Len() != 1 {
		return nil, errors.Errorf("%s: want one FILE, got %d arguments", c.Name, c.Args().Len())
	}
	return readFile(c.Root().Reader, c.Args().First())
}

// readFile reads a file, or in if the name is "-". It reads at most one byte more than
// the maximum size of a bundle.
func readFile(in io.Reader, name string) ([]byte, error) {
	if name != "-" {
		file, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, errors.Wrap(err, "read bundle")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	if in == nil {
		return nil, errors.New("read bundle: standard input is not supported for this flag")
	}
	body, err := io.ReadAll(io.LimitReader(in, bundle.MaxSize+1))
	return body, errors.Wrap(err, "read bundle")
}

// createFile creates a file and writes its content. It fails if the file exists.
func createFile(name string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
