//! Help text of the command line.

/// Text that `--help` prints.
pub const TEXT: &str = "\
bronzespoke: the operators' command line of the bronzespoke cluster scheduler

USAGE
  bronzespoke [FLAGS] -c STATEMENT   execute one statement
  bronzespoke [FLAGS]                execute statements from standard input, one a line,
                                     or from a prompt when standard input is a terminal
  bronzespoke [FLAGS] timeline       show the merged events of all processes
  bronzespoke [FLAGS] report FILE    turn policy measures or a timeline (JSON) into one HTML page
  bronzespoke demo [DEMO FLAGS]      run a whole cell on this machine

FLAGS (each has a twin in the environment; a flag takes precedence)
  --address IP:PORT       BRONZESPOKE_ADDRESS     JSON-RPC address of a daemon; repeat it (in the
                                                  environment: separate with commas) to name others
                                                  that are tried when one does not answer
  --timeout DURATION      BRONZESPOKE_TIMEOUT     longest wait for one answer, 10ms to 10m [5s]
  --json                  BRONZESPOKE_JSON        print JSON, one value a line
  --log LEVEL             BRONZESPOKE_LOG         off, error, warn, info, debug or trace [warn]
  --help, -h              print this text
  --version, -V           print the version

STATEMENTS
  -c, --statement LINE    BRONZESPOKE_STATEMENT   the statement, such as 'show teams'
  --command-id ID         BRONZESPOKE_COMMAND_ID  id of the command in -c, 1 to 32 hexadecimal digits;
                                                  resend a command whose answer was lost with its id

TIMELINE (all filters must match)
  --team ID|NAME          BRONZESPOKE_TEAM        events of the team, its jobs and their tasks
  --job ID                BRONZESPOKE_JOB         events of the job and its tasks
  --task JOB/INDEX        BRONZESPOKE_TASK        events of the task
  --target ID             BRONZESPOKE_TARGET      events of the target
  --worker ID             BRONZESPOKE_WORKER      events of the worker
  --process NAME          BRONZESPOKE_PROCESS     events recorded by the VM's daemon
  --since TIME            BRONZESPOKE_SINCE       2026-12-04T09:30:00Z, or a duration ago such as 10m
  --until TIME            BRONZESPOKE_UNTIL       the same

REPORT
  --output FILE           BRONZESPOKE_OUTPUT      where the page goes [standard output]

EXIT STATUS
  0  done
  1  refused or failed
  2  the flags, the environment or a statement are not understood
";
