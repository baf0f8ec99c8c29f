/** Exit codes of the program, documented in docs/cli.md. */
export const EXIT = {
  SUCCESS: 0,
  /** Refused or failed; nothing more will happen. */
  FAILED: 1,
  USAGE: 2,
  /** No instance was reached; nothing was sent. */
  UNREACHABLE: 3,
  /** The request may or may not have had an effect. */
  OUTCOME_UNKNOWN: 4,
  VERIFICATION_FAILED: 5,
} as const;

/** One of the documented exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Text shown at the end of each help page. */
export const EXIT_CODES_HELP = `Exit codes:
  0 success              3 no instance reached
  1 refused or failed    4 outcome unknown
  2 usage error          5 verification failed`;
