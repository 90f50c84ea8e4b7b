// Command standin runs one case of the review: it starts the programs of the
// project as separate processes, with stand-ins for the platform, the leafs, the
// operator and the clients, and judges what these see.
//
//	standin CASE FOLDER
//
// FOLDER gets record.txt. The exit status is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 nothing is disrupted.
package main
