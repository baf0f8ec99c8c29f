import {expect} from 'chai';

import {
  type AdmissionInput,
  decideAdmission,
} from '../../src/limits/admission.js';
import {createKindPolicy} from '../fixtures.js';

const INPUT: AdmissionInput = {
  team: 'a',
  kind: createKindPolicy(),
  tasks: 2,
  queuedOfKind: 0,
  queuedTasks: 0,
  maxQueuedTasks: 100,
  expectedWaitMs: 0,
};

describe('decideAdmission', () => {
  for (const [title, part, expected] of [
    [
      'admits a job whose wait is within the target',
      {expectedWaitMs: 1_000},
      {admitted: true, reason: 'admitted'},
    ],
    [
      'refuses a wait beyond the target',
      {expectedWaitMs: 3_500},
      {
        outcome: 'not-run',
        reason: 'wait-exceeds-target',
        retryAfterSeconds: 3,
        answer: 'a.kind:k.target_ms',
      },
    ],
    [
      'refuses a job that exceeds the queue of its kind',
      {queuedOfKind: 9},
      {
        reason: 'queue-full',
        retryAfterSeconds: 1,
        answer: 'a.kind:k.queue_limit',
      },
    ],
    [
      'refuses a job that exceeds the queue of the instance',
      {queuedTasks: 99},
      {admitted: false, reason: 'queue-full'},
    ],
    [
      'admits a job before the first upstream announced itself',
      {expectedWaitMs: Infinity},
      {admitted: true},
    ],
    [
      'bounds the suggested delay',
      {expectedWaitMs: 1e9},
      {retryAfterSeconds: 60},
    ],
    [
      'admits any wait without a target',
      {kind: createKindPolicy({targetMs: 0}), expectedWaitMs: 1e9},
      {admitted: true},
    ],
  ] as const) {
    it(title, () => {
      expect(decideAdmission({...INPUT, ...part})).to.include(expected);
    });
  }
});
