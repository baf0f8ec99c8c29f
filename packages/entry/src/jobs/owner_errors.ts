/** Errors of job owners. */
import {MustardferryError} from '@mustardferry/model';

/** The instance is no longer the owner; another one takes over its jobs. */
export class OwnershipLostError extends MustardferryError {
  readonly code = 'ownership-lost';
}
