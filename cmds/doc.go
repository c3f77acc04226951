// Package cmds implements the subcommands, their settings and the exit statuses.
//
// Every setting is a flag and an environment variable with the prefix
// BERGAMOT_. An invalid setting is reported by name, with exit status 2.
package cmds
