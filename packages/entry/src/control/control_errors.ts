/** Errors of proposals to the control log. */
import {MustardferryError} from '@mustardferry/model';

/** The change was never proposed. */
export class ControlUnavailableError extends MustardferryError {
  readonly code = 'control-unavailable';
}

/** The change was proposed, and it is not known whether it took effect. */
export class ControlOutcomeUnknownError extends MustardferryError {
  readonly code = 'control-outcome-unknown';
}
