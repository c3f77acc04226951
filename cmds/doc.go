// Package cmds is the command line: subcommands, settings and exit statuses.
//
// Every setting is a flag and an environment variable with the prefix
// BERGAMOT_. A wrong setting is refused with its name and exit status 2.
package cmds
