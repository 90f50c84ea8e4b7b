// Package layering tests that packages which make decisions do no input or output, and that names of the users' platform
// appear only in the folder platform.
package layering
