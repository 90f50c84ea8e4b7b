// Package promoter decides how fast a new version of a service takes over its requests, and when it is rolled back.
//
// It compares the answers of the new version with those of the old one in the same stretch of time and on the same route, with a
// test that is exact for few samples. A difference between two stretches, such as a burst or slow leafs, hits both versions and
// thus says nothing.
package promoter
