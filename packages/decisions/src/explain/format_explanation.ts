/** Text form of the steps of a job, for operators. */
import type {ExplainStep} from '@mustardferry/model';

import {REASON_DESCRIPTIONS, type ReasonCode} from './reasons.js';

function describeReason(reason: string): string {
  return Object.hasOwn(REASON_DESCRIPTIONS, reason)
    ? REASON_DESCRIPTIONS[reason as ReasonCode]
    : '';
}

function formatStep(step: ExplainStep, startMs: number): string {
  const offset = `+${step.atMs - startMs} ms`.padStart(10);
  const subject = step.taskId === '' ? 'job' : `task ${step.taskId}`;
  const reasonDescription = describeReason(step.reason);
  const parts = [`${offset}  ${subject} ${step.step}: ${step.reason}`];
  if (reasonDescription) parts.push(`(${reasonDescription})`);
  if (step.detail) parts.push(step.detail);
  if (step.answer) parts.push(`[answer ${step.answer}]`);
  return parts.join(' ');
}

/** One line for each step, oldest first, with times relative to the first. */
export function formatExplanation(steps: readonly ExplainStep[]): string {
  const ordered = [...steps].sort((a, b) => a.atMs - b.atMs);
  const startMs = ordered[0]?.atMs ?? 0;
  return ordered.map(step => formatStep(step, startMs)).join('\n');
}
