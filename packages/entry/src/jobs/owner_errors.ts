/** Errors of job ownership. */
import {MustardferryError} from '@mustardferry/model';

/** The instance stopped being the owner; another one takes the job over. */
export class OwnershipLostError extends MustardferryError {
  readonly code = 'ownership-lost';
}
