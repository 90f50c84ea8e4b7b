// Package verifier rejects HTTP responses with an invalid head that fasthttp would accept: it reads the status 000 as 200 and those from 001
// to 099 as interim responses, as it does 101, takes any two digits for the version, ignores a Transfer-Encoding in any version but 1.1,
// allows control bytes in the reason and blanks in the names of fields, joins a line that begins with a blank to the line before it, and may
// take a bare line feed before a name for the end of the head. The package also rejects a head within which another response begins.
package verifier
